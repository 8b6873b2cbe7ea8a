#include <godwittrestle/daemon/operator_face.hpp>

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

		constexpr duration question_timeout = seconds(2);
		constexpr std::string_view bearer_prefix = "Bearer ";

		http::response make_json(json::value const& body)
		{
			return {200, {{"Content-Type", "application/json"}}, json::serialize(body)};
		}

		json::object show_cell(decide::cell_status const& cell)
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

		json::object show_status(decide::core_status const& status, std::string const& instance)
		{
			json::array live;
			std::ranges::for_each(
				status.live_daemons, [&](instance_id const& id) { live.push_back(id.str().c_str()); });
			json::array cells;
			std::ranges::for_each(
				status.owned_cells, [&](decide::cell_status const& cell) { cells.push_back(show_cell(cell)); });
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

		json::object show_explanation(decide::explanation const& answer)
		{
			json::array candidates;
			std::ranges::for_each(
				answer.candidates, [&](server_id const& id) { candidates.push_back(id.str().c_str()); });
			return {{"known_service", answer.known_service}, {"kind", answer.kind}, {"cell", answer.cell.str()},
				{"owner", answer.owner}, {"candidates", std::move(candidates)}, {"objective", answer.objective},
				{"priority", answer.priority}, {"patience_ms", to_milliseconds(answer.patience)},
				{"note", answer.note}};
		}

		// What a successor of the policy in force is sealed on.
		http::response show_base(decide::configuration const& config)
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
			return make_json(base);
		}
	}

	operator_face::operator_face(core_loop& loop, telemetry const& recorded, daemon_settings const& given,
		std::function<process_figures()> process, std::function<void()> on_drain)
		: core(&loop)
		, events(&recorded)
		, settings(&given)
		, figures(std::move(process))
		, drain(std::move(on_drain))
	{
	}

	operator_face::~operator_face()
	{
		this->stop();
	}

	void operator_face::start()
	{
		this->server = std::make_unique<http::server>(this->thread.context().get_executor(),
			this->settings->operator_address, http::server_limits{},
			[this](http::request message, http::exchange& talk) { return this->handle(std::move(message), talk); });
		this->server->start();
		this->thread.start();
	}

	void operator_face::stop()
	{
		this->thread.stop();
	}

	bool operator_face::is_admitted(http::request const& message) const
	{
		auto const value = message.find_header("Authorization");
		return this->settings->operator_token.empty() ||
			   (value.starts_with(bearer_prefix) &&
				   equal_constant_time(value.substr(bearer_prefix.size()), this->settings->operator_token));
	}

	asio::awaitable<void> operator_face::handle(http::request message, http::exchange& talk)
	{
		if (!this->is_admitted(message))
		{
			co_await talk.reply(http::make_error(401, "unauthorised", "the operators' token is missing or wrong",
				"send it as 'Authorization: Bearer ...'"));
			co_return;
		}
		auto const path = std::string(message.path());
		auto question = this->question_for(path, message);
		http::response answer;
		if (question)
		{
			answer = co_await this->ask(std::move(question));
		}
		else if (path == "/v1/timeline")
		{
			answer = this->show_timeline(message.query("request"));
		}
		else if (path == "/v1/drain" && message.method == "POST")
		{
			this->drain();
			answer = make_json(json::object{{"state", "leaving"}});
		}
		else
		{
			answer = http::make_error(404, "not_found", "nothing is served here",
				"use /metrics, /v1/status, /v1/timeline, /v1/explain, /v1/policy/base or POST /v1/drain");
		}
		co_await talk.reply(std::move(answer));
	}

	operator_face::core_reader operator_face::question_for(std::string const& path, http::request const& message) const
	{
		if (path == "/metrics")
		{
			return [this](decide::core const& asked, time_point now)
			{
				return http::response{200, {{"Content-Type", "text/plain; version=0.0.4"}},
					render_metrics(asked.status(now), this->figures())};
			};
		}
		if (path == "/v1/status")
		{
			return [](decide::core const& asked, time_point now)
			{
				return make_json(show_status(asked.status(now), asked.settings().instance.str()));
			};
		}
		if (path == "/v1/explain")
		{
			return [service = service_id(message.query("service"))](decide::core const& asked, time_point now)
			{
				return make_json(show_explanation(asked.explain(service, now)));
			};
		}
		if (path == "/v1/policy/base")
		{
			return [](decide::core const& asked, time_point /*now*/)
			{
				return show_base(asked.config());
			};
		}
		return nullptr;
	}

	asio::awaitable<http::response> operator_face::ask(core_reader asking)
	{
		auto const slot = std::make_shared<std::optional<http::response>>();
		auto const wakeup = std::make_shared<asio::steady_timer>(this->thread.context(), question_timeout);
		core_input input(core_question(
			[this, slot, wakeup, asking = std::move(asking)](decide::core const& asked, time_point now)
			{
				auto const found = std::make_shared<http::response>(asking(asked, now));
				asio::post(this->thread.context(),
					[slot, wakeup, found]
					{
						*slot = std::move(*found);
						wakeup->cancel();
					});
			}));
		if (this->core->try_push(input))
		{
			co_await wakeup->async_wait(asio::as_tuple(asio::use_awaitable));
		}
		co_return slot->value_or(
			http::make_error(503, "busy", "the daemon did not answer in time", "ask again", question_timeout));
	}

	http::response operator_face::show_timeline(std::string const& request) const
	{
		json::array shown;
		for (auto const& event : this->events->timeline(request))
		{
			shown.push_back({{"timestamp", event.timestamp}, {"instance", this->settings->instance.str()},
				{"data_centre", this->settings->data_centre.str()}, {"event", event.name},
				{"request", event.request.str()}, {"detail", event.detail}});
		}
		return make_json(shown);
	}
}
