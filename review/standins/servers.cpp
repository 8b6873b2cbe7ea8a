#include "servers.hpp"

#include <algorithm>
#include <tuple>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace review
{
	namespace
	{
		constexpr unsigned status_ok = 200;
		constexpr unsigned status_accepted = 202;
		constexpr unsigned status_conflict = 409;
		constexpr unsigned status_fence_refused = 412;
		constexpr unsigned status_misdirected = 421;
		constexpr unsigned status_unavailable = 503;
		constexpr std::string_view attempt_header = "X-Request-Attempt-Id";
		constexpr std::string_view drop_prefix = "/hold-drop/";

		std::int64_t wall_clock_ms()
		{
			return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
				.count();
		}

		std::uint32_t prompt_tokens(incoming_request const& message)
		{
			auto const counts = header_of(message, "X-Token-Counts");
			return counts.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(counts));
		}

		int output_tokens(incoming_request const& message)
		{
			auto const counts = header_of(message, "X-Token-Counts");
			auto const comma = counts.find(',');
			return comma == std::string::npos ? 0 : std::stoi(counts.substr(comma + 1));
		}
	}

	std::string event_text(std::string const& attempt, int number, std::string const& version)
	{
		return "id: " + std::to_string(number) + "\ndata: " + attempt + "-" + std::to_string(number) + "@" + version +
			   "\n\n";
	}

	std::string whole_stream(std::string const& attempt, int events)
	{
		std::string text;
		for (int number = 1; number <= events; ++number)
		{
			text += event_text(attempt, number);
		}
		return text;
	}

	std::string plain_body(std::string const& attempt)
	{
		return "done " + attempt + "\n";
	}

	backend_server::backend_server(asio::io_context& event_loop, store& registry_store, record& case_record,
		server_log& seen, server_terms given, std::string id, std::string service_name, std::string own_stage,
		std::string const& ip)
		: loop(&event_loop)
		, registry(&registry_store)
		, lines(&case_record)
		, log(&seen)
		, terms(given)
		, name(std::move(id))
		, service(std::move(service_name))
		, stage(std::move(own_stage))
		, born(wall_clock_ms())
		, history({order_state{clock::now()}})
		, listener(event_loop, ip,
			  [this](incoming_request const& message, channel& link) { return this->serve(message, link); })
	{
	}

	std::string const& backend_server::id() const noexcept
	{
		return this->name;
	}

	void backend_server::write_entry()
	{
		boost::json::object entry{{"service", this->service}, {"address", this->listener.address()}, {"zone", "north"},
			{"version", this->version}, {"slots", this->terms.slots}, {"state", this->state}, {"cold-remaining-ms", 0},
			{"sequence", 1}, {"born", this->born}};
		if (!this->stage.empty())
		{
			entry["stage"] = this->stage;
			entry["models"] = boost::json::array{boost::json::object{{"name", "m"}, {"version", 1}}};
		}
		this->registry->put("servers/" + this->name, boost::json::serialize(entry));
		this->lines->line("store: entry of " + this->name + " " + this->state + " " + this->stage + " at revision " +
						  std::to_string(this->registry->revision()));
	}

	void backend_server::remove_entry()
	{
		this->registry->remove("servers/" + this->name);
		this->lines->line(
			"store: entry of " + this->name + " removed at revision " + std::to_string(this->registry->revision()));
	}

	std::vector<header> backend_server::headers_for(incoming_request const& message) const
	{
		std::vector<header> headers;
		auto const attempt = header_of(message, std::string(attempt_header));
		if (!attempt.empty())
		{
			headers.emplace_back(attempt_header, attempt);
		}
		if (this->is_leaving)
		{
			headers.emplace_back("Server-Leaving", "1");
		}
		return headers;
	}

	void backend_server::crash()
	{
		this->lines->line(this->name + ": crashes, version " + this->version);
		this->listener.close();
	}

	void backend_server::start_again()
	{
		this->born = wall_clock_ms();
		this->orders = 0;
		this->highest_fence = 0;
		this->is_busy = false;
		this->history = {order_state{clock::now()}};
		this->listener.open();
		this->lines->line(this->name + ": starts again, version " + this->version);
	}

	asio::awaitable<void> backend_server::serve(incoming_request const& message, channel& link)
	{
		auto headers = this->headers_for(message);
		auto const expected = header_of(message, "X-Expect-Instance");
		auto const stage_wanted = header_of(message, "X-Stage");
		auto const is_control = header_of(message, std::string(attempt_header)).empty();
		auto const is_wrong_stage =
			!is_control && !this->stage.empty() && (this->stage == "prefill") != (stage_wanted == "prefill");
		if ((!expected.empty() && expected != this->name) || is_wrong_stage)
		{
			headers.emplace_back("X-Instance-Id", this->name);
			std::ignore = co_await link.answer(status_misdirected, headers, "");
			co_return;
		}
		if (is_control)
		{
			co_await this->answer_control(message, link);
		}
		else if (this->is_busy)
		{
			headers.emplace_back("X-Not-Executed", "1");
			std::ignore = co_await link.answer(status_unavailable, headers, "");
		}
		else if (stage_wanted == "prefill")
		{
			co_await this->prefill(message, link);
		}
		else if (!this->stage.empty())
		{
			co_await this->stream(message, link);
		}
		else
		{
			co_await this->run_plain(message, link);
		}
		if (!link.last_answer.empty() && this->draws_extra && this->draws_extra())
		{
			link.late_extra = link.last_answer;
			++this->log->extra_answers;
			this->lines->line(this->name + ": will send a second copy of its answer to " +
							  std::string(message.method_string()) + " " + std::string(message.target()) +
							  " when the next answer on the channel is expected");
		}
	}

	asio::awaitable<void> backend_server::answer_control(incoming_request const& message, channel& link)
	{
		auto headers = this->headers_for(message);
		auto const target = std::string(message.target());
		std::string body;
		unsigned status = status_ok;
		if (target == "/order")
		{
			co_await this->answer_order(message, link);
			co_return;
		}
		if (target == "/hold-take")
		{
			auto const hold = this->take_hold(message);
			status = hold.empty() ? status_unavailable : status_ok;
			body = hold.empty() ? "" : R"({"hold":")" + hold + R"("})";
			if (hold.empty())
			{
				headers.emplace_back("X-Not-Executed", "1");
			}
		}
		else if (target.starts_with(drop_prefix))
		{
			this->holds.erase(target.substr(drop_prefix.size()));
		}
		else if (target == "/report")
		{
			body = this->report();
		}
		else if (target == "/kv-list")
		{
			body = R"({"epoch":1,"next":0,"held":[]})";
		}
		else if (target == "/healthz")
		{
			headers.emplace_back("X-Instance-Id", this->name);
		}
		if (!body.empty())
		{
			headers.emplace_back("Content-Type", "application/json");
		}
		std::ignore = co_await link.answer(status, headers, body);
	}

	std::string backend_server::take_hold(incoming_request const& message)
	{
		auto const now = clock::now();
		std::erase_if(this->holds, [now](auto const& item) { return item.second.ends_at <= now; });
		auto taken = this->tokens_in_use;
		for (auto const& [name, held] : this->holds)
		{
			taken += held.tokens;
		}
		auto const body = boost::json::parse(message.body()).as_object();
		auto const tokens = body.at("tokens").to_number<int>();
		if (this->is_busy || this->stage != "decode" || taken + tokens > this->terms.memory)
		{
			return {};
		}
		auto const lifetime = milliseconds(body.at("ttl-ms").to_number<std::int64_t>());
		auto name = "h" + std::to_string(++this->handles);
		this->holds.emplace(name, reservation{now + lifetime, tokens});
		return name;
	}

	std::string backend_server::report() const
	{
		auto const at = clock::now() - this->terms.report_age;
		auto known = this->history.front();
		for (auto const& each : this->history)
		{
			known = each.since <= at ? each : known;
		}
		return boost::json::serialize(boost::json::object{{"stage", this->stage},
			{"models", boost::json::array{boost::json::object{{"name", "m"}, {"version", 1}}}}, {"busy", known.is_busy},
			{"sequence", known.orders}, {"queued", 0}, {"running", this->running}, {"kv-used", 0}, {"kv-total", 86'095},
			{"kv-handles", 0}, {"runs", boost::json::array{}}, {"born", this->born}});
	}

	asio::awaitable<void> backend_server::answer_order(incoming_request const& message, channel& link)
	{
		received_order order;
		auto const body = boost::json::parse(message.body()).as_object();
		order.server = this->name;
		order.holder = std::string(body.at("holder").as_string());
		order.fence = body.at("fencing-token").to_number<std::uint64_t>();
		order.stage = std::string(body.at("stage").as_string());
		order.at = clock::now();
		auto const is_expected =
			!body.contains("expected") || body.at("expected").to_number<std::uint64_t>() == this->orders;
		if (order.fence < this->highest_fence)
		{
			order.status = status_fence_refused;
		}
		else if (this->is_busy || !is_expected)
		{
			order.status = status_conflict;
		}
		else if (order.stage == this->stage)
		{
			order.status = status_ok;
		}
		else
		{
			order.status = status_accepted;
			++this->orders;
			this->is_busy = true;
			this->history.push_back({clock::now(), true, this->orders});
			asio::co_spawn(*this->loop, this->change_stage(order.stage), asio::detached);
		}
		this->highest_fence = std::max(this->highest_fence, order.fence);
		this->lines->line(this->name + ": order from " + order.holder + ": stage " + order.stage + ", fence number " +
						  std::to_string(order.fence) + ", answered " + std::to_string(order.status));
		this->log->orders.push_back(order);
		std::ignore = co_await link.answer(order.status, this->headers_for(message), "{}");
	}

	asio::awaitable<void> backend_server::change_stage(std::string wanted)
	{
		constexpr milliseconds poll(20);
		while (this->running > 0)
		{
			co_await sleep_for(poll);
		}
		co_await sleep_for(this->terms.stage_switch);
		this->stage = wanted;
		this->is_busy = false;
		this->history.push_back({clock::now(), false, this->orders});
		this->write_entry();
	}

	asio::awaitable<void> backend_server::prefill(incoming_request const& message, channel& link)
	{
		++this->running;
		co_await sleep_for(this->terms.prefill_per_token * prompt_tokens(message));
		--this->running;
		auto headers = this->headers_for(message);
		headers.emplace_back("Content-Type", "application/json");
		auto const body =
			boost::json::serialize(boost::json::object{{"handle", this->name + "-" + std::to_string(++this->handles)},
				{"tokens", prompt_tokens(message)}, {"version", 1}});
		std::ignore = co_await link.answer(status_ok, headers, body);
	}

	asio::awaitable<void> backend_server::stream(incoming_request const& message, channel& link)
	{
		auto const attempt = header_of(message, std::string(attempt_header));
		auto const last = header_of(message, "Last-Event-Id");
		this->log->runs.push_back({attempt, this->name, clock::now()});
		this->holds.erase(header_of(message, "X-Kv-Hold"));
		this->lines->line(this->name + ": begins to run " + attempt);
		++this->running;
		if (header_of(message, "X-Kv-Source").empty())
		{
			co_await sleep_for(2 * this->terms.prefill_per_token * prompt_tokens(message));
		}
		auto headers = this->headers_for(message);
		headers.emplace_back("X-Server-Seal", "seal." + attempt);
		headers.emplace_back("X-Weight-Versions", "1");
		headers.emplace_back("Content-Type", "text/event-stream");
		auto const events = output_tokens(message) / this->terms.stride;
		auto const tokens = static_cast<int>(prompt_tokens(message)) + output_tokens(message);
		this->tokens_in_use += tokens;
		auto is_open = co_await link.begin_stream(headers);
		for (int number = last.empty() ? 1 : std::stoi(last) + 1; is_open && number <= events; ++number)
		{
			co_await sleep_for(this->terms.event_interval);
			is_open = co_await link.write_chunk(event_text(attempt, number, this->version));
		}
		--this->running;
		this->tokens_in_use -= tokens;
		if (is_open)
		{
			std::ignore = co_await link.end_stream();
		}
	}

	asio::awaitable<void> backend_server::run_plain(incoming_request const& message, channel& link)
	{
		auto const attempt = header_of(message, std::string(attempt_header));
		this->log->runs.push_back({attempt, this->name, clock::now()});
		this->lines->line(this->name + ": begins to run " + attempt + " for " + std::string(message.target()));
		co_await sleep_for(this->work.value_or(this->terms.plain_work));
		auto headers = this->headers_for(message);
		headers.emplace_back("X-Server-Seal", "seal." + attempt);
		std::ignore = co_await link.answer(status_ok, headers, plain_body(attempt));
	}

	std::string configuration_text(
		int version, std::vector<route_text> const& routes, std::vector<std::string> const& plain_services)
	{
		boost::json::array route_list;
		for (auto const& each : routes)
		{
			route_list.push_back(boost::json::object{{"name", each.name}, {"host", "app.example"},
				{"prefix", each.prefix}, {"kind", each.kind}, {"timeout-ms", each.timeout_ms},
				{"target-latency-ms", each.target_ms}, {"priority", 1}, {"service", each.service},
				{"max-attempts", each.max_attempts}, {"resumable", each.resumable}, {"gap-aim-ms", 300}});
		}
		boost::json::array services;
		services.push_back(
			boost::json::object{{"name", "digest"}, {"health-path", "/healthz"}, {"max-connections", 370},
				{"engine", boost::json::object{{"slots", 64}, {"kv-capacity", 86'095}, {"kv-token-bytes", 18'432},
							   {"stride", 50}, {"kv-hold-s", 0.5}, {"stage-switch-s", 6.0}, {"hold-ms", 2000.0}}}});
		for (auto const& each : plain_services)
		{
			services.push_back(
				boost::json::object{{"name", each}, {"health-path", "/healthz"}, {"max-connections", 110}});
		}
		return boost::json::serialize(boost::json::object{{"version", version}, {"routes", std::move(route_list)},
			{"services", std::move(services)},
			{"limits", boost::json::object{{"max-header-bytes", 16'384}, {"max-body-bytes", 4'194'304},
						   {"header-timeout-ms", 3000}, {"idle-timeout-ms", 15'000}}}});
	}
}
