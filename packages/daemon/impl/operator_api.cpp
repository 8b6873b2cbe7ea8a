#include <godwittrestle/daemon/operator_api.hpp>

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/policy.hpp>

namespace godwittrestle::daemon
{
	namespace
	{
		namespace json = boost::json;

		constexpr duration query_timeout = seconds(2);
		constexpr std::string_view bearer_prefix = "Bearer ";

		http::response make_json_response(json::value const& body)
		{
			return {200, {{"Content-Type", "application/json"}}, json::serialize(body)};
		}

		json::object cell_to_json(decide::cell_status const& cell)
		{
			json::array engines;
			for (auto const& engine : cell.engines)
			{
				engines.push_back({{"server", engine.server.str()}, {"usable", engine.usable},
					{"running", engine.running}, {"free_slots", engine.free_slots}, {"foreign", engine.foreign}});
			}
			return {{"cell", cell.cell.str()}, {"waiting", cell.waiting}, {"leased", cell.leased},
				{"engines", std::move(engines)}};
		}

		json::object status_to_json(decide::core_status const& status, std::string const& instance)
		{
			json::array live;
			std::ranges::for_each(
				status.live_daemons, [&](instance_id const& id) { live.push_back(id.str().c_str()); });
			json::array cells;
			std::ranges::for_each(
				status.owned_cells, [&](decide::cell_status const& cell) { cells.push_back(cell_to_json(cell)); });
			json::array refused;
			for (auto const& each : status.refused)
			{
				refused.push_back({{"version", each.version.count()}, {"reason", each.reason}});
			}
			return {{"instance", instance}, {"state", decide::to_string(status.state)}, {"trusted", status.trusted},
				{"config_version", status.config_version.count()}, {"revision", status.revision},
				{"digest", status.digest}, {"config_age_ms", to_milliseconds(status.config_age)},
				{"list_version", status.list_version.count()}, {"live_daemons", std::move(live)},
				{"owned_cells", std::move(cells)}, {"refused_documents", std::move(refused)},
				{"running", {{"completions", status.completions}, {"plain_calls", status.plain_calls},
								{"keyed_calls", status.keyed_calls}}},
				{"answers", status.totals.answers}, {"answers_in_time", status.totals.answers_in_time},
				{"wasted_prefill_tokens", status.totals.wasted_tokens}};
		}

		json::object explanation_to_json(decide::explanation const& answer)
		{
			json::array candidates;
			std::ranges::for_each(
				answer.candidates, [&](server_id const& id) { candidates.push_back(id.str().c_str()); });
			return {{"known_service", answer.known_service}, {"kind", answer.kind}, {"cell", answer.cell.str()},
				{"owner", answer.owner}, {"candidates", std::move(candidates)}, {"objective", answer.objective},
				{"priority", answer.priority}, {"patience_ms", to_milliseconds(answer.patience)},
				{"note", answer.note}};
		}

		// Returns what is needed to seal a successor of the policy in force: its version and document, and the versions
		// of the documents that were refused since.
		http::response make_policy_base_response(decide::configuration const& config)
		{
			json::array skipped;
			for (auto const& refused : config.refused())
			{
				skipped.push_back({{"platform_version", refused.published.platform_version()},
					{"base_version", refused.published.base_version()}});
			}
			json::object base{{"version", config.version().count()}, {"skipped", std::move(skipped)}};
			if (config.active())
			{
				base["document"] = json::parse(policy::to_json(config.active()->document()));
			}
			return make_json_response(base);
		}

		// What the requests of all operators may hold together.
		constexpr std::size_t max_operator_memory = 16'000'000;

		http::server_limits operator_limits()
		{
			http::server_limits limits;
			limits.memory_bytes = max_operator_memory;
			return limits;
		}
	}

	operator_api::operator_api(core_loop& given_core, telemetry const& given_events,
		daemon_settings const& given_settings, std::function<process_metrics()> metrics_reader,
		std::function<void()> on_drain)
		: core(&given_core)
		, events(&given_events)
		, settings(&given_settings)
		, read_process_metrics(std::move(metrics_reader))
		, drain(std::move(on_drain))
	{
	}

	operator_api::~operator_api()
	{
		this->stop();
	}

	void operator_api::start()
	{
		this->server =
			std::make_unique<http::server>(this->thread.context().get_executor(), this->settings->operator_address,
				operator_limits(), [this](http::request message, http::exchange& http_exchange)
				{ return this->handle(std::move(message), http_exchange); });
		this->server->start();
		this->thread.start();
	}

	void operator_api::stop()
	{
		this->thread.stop();
	}

	bool operator_api::is_authorised(http::request const& message) const
	{
		auto const value = message.find_header("Authorization");
		return this->settings->operator_token.empty() ||
			   (value.starts_with(bearer_prefix) &&
				   equal_constant_time(value.substr(bearer_prefix.size()), this->settings->operator_token));
	}

	asio::awaitable<void> operator_api::handle(http::request message, http::exchange& http_exchange)
	{
		if (!this->is_authorised(message))
		{
			co_await http_exchange.reply(http::make_error(401, "unauthorised",
				"the operators' token is missing or wrong", "send it as 'Authorization: Bearer ...'"));
			co_return;
		}
		auto const path = std::string(message.path());
		auto builder = this->find_response_builder(path, message);
		http::response answer;
		if (builder)
		{
			answer = co_await this->query_core(std::move(builder));
		}
		else if (path == "/v1/timeline")
		{
			answer = this->make_timeline_response(message.query("request"));
		}
		else if (path == "/v1/drain" && message.method == "POST")
		{
			this->drain();
			answer = make_json_response(json::object{{"state", "leaving"}});
		}
		else
		{
			answer = http::make_error(404, "not_found", "nothing is served here",
				"use /metrics, /v1/status, /v1/timeline, /v1/explain, /v1/policy/base or POST /v1/drain");
		}
		co_await http_exchange.reply(std::move(answer));
	}

	operator_api::response_builder operator_api::find_response_builder(
		std::string const& path, http::request const& message) const
	{
		if (path == "/metrics")
		{
			return [this](decide::core const& queried_core, time_point now)
			{
				return http::response{200, {{"Content-Type", "text/plain; version=0.0.4"}},
					render_metrics(queried_core.status(now), this->read_process_metrics())};
			};
		}
		if (path == "/v1/status")
		{
			return [](decide::core const& queried_core, time_point now)
			{
				return make_json_response(
					status_to_json(queried_core.status(now), queried_core.settings().instance.str()));
			};
		}
		if (path == "/v1/explain")
		{
			return [service = service_id(message.query("service"))](decide::core const& queried_core, time_point now)
			{
				return make_json_response(explanation_to_json(queried_core.explain(service, now)));
			};
		}
		if (path == "/v1/policy/base")
		{
			return [](decide::core const& queried_core, time_point /*now*/)
			{
				return make_policy_base_response(queried_core.config());
			};
		}
		return nullptr;
	}

	asio::awaitable<http::response> operator_api::query_core(response_builder build_response)
	{
		auto const pending_answer = std::make_shared<std::optional<http::response>>();
		auto const wakeup = std::make_shared<asio::steady_timer>(this->thread.context(), query_timeout);
		core_input input(core_query(
			[this, pending_answer, wakeup, build_response = std::move(build_response)](
				decide::core const& queried_core, time_point now)
			{
				auto const found = std::make_shared<http::response>(build_response(queried_core, now));
				asio::post(this->thread.context(),
					[pending_answer, wakeup, found]
					{
						*pending_answer = std::move(*found);
						wakeup->cancel();
					});
			}));
		if (this->core->try_push(input))
		{
			co_await wakeup->async_wait(asio::as_tuple(asio::use_awaitable));
		}
		co_return pending_answer->value_or(
			http::make_error(503, "busy", "the daemon did not answer in time", "ask again", query_timeout));
	}

	http::response operator_api::make_timeline_response(std::string const& request) const
	{
		json::array entries;
		for (auto const& event : this->events->timeline(request))
		{
			entries.push_back({{"timestamp", event.timestamp}, {"instance", this->settings->instance.str()},
				{"data_centre", this->settings->data_centre.str()}, {"event", event.name},
				{"request", event.request.str()}, {"detail", event.detail}});
		}
		return make_json_response(entries);
	}
}
