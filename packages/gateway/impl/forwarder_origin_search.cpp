#include <godwittrestle/gateway/forwarder.hpp>

#include <algorithm>
#include <ranges>
#include <tuple>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include <godwittrestle/decide/rendezvous.hpp>

#include "forwarder_state.hpp"

namespace godwittrestle::gateway
{
	namespace
	{
		// Engines of one service whose memory is searched at most.
		constexpr std::size_t max_engines_searched = 32;
		constexpr duration contents_timeout = milliseconds(300);
		constexpr duration longest_search = 2 * contents_timeout;
		constexpr duration contact_poll_interval = milliseconds(25);
	}

	// What the engines of one service say that they run and keep.
	struct forwarder::origin_search
	{
		time_point begun_at;
		std::size_t unanswered = 0;
		std::size_t engines = 0;
		std::map<fingerprint, std::set<routing::server_process>> runs;
		std::size_t parts = 0;
		// Engines that did not say what they keep.
		std::size_t unlisted = 0;

		[[nodiscard]] bool is_over(time_point now) const noexcept
		{
			return this->unanswered == 0 || now >= this->begun_at + longest_search;
		}
	};

	void forwarder::learn_origins()
	{
		std::set<service_id> services;
		auto const now = monotonic_now();
		auto const since = now - longest_stream_life(*this->shared);
		for (auto const& server : this->shared->servers.all() | std::views::values)
		{
			auto const is_engine = server->entry.role != routing::server_role::plain;
			auto const& routes = this->shared->routes;
			auto const has_streams = is_engine || (routes && routes->streams_to(server->entry.service));
			if (has_streams && !this->shared->versions.only_version_since(server->entry.service, since, now))
			{
				services.insert(server->entry.service);
			}
		}
		for (auto const& service : services)
		{
			this->run_in_background("origin_search", this->search_origins(service));
		}
	}

	asio::awaitable<void> forwarder::search_origins(service_id service)
	{
		auto const begun_at = monotonic_now();
		auto engines = this->shared->servers.stream_servers(service, begun_at);
		std::ranges::sort(engines, std::ranges::greater{}, [this](routing::server_pointer const& each)
			{ return decide::rank(each->entry.id.str(), this->shared->own_id.str()); });
		for (auto const& engine : engines)
		{
			this->shared->holders.note_unlisted(engine->entry.id, {service, engine->entry.version}, begun_at);
		}
		engines.resize(std::min(engines.size(), max_engines_searched));
		auto const search = std::make_shared<origin_search>();
		search->begun_at = begun_at;
		search->engines = engines.size();
		search->unanswered = engines.size();
		for (auto const& engine : engines)
		{
			this->run_in_background("origin_search", this->read_contents(engine, search));
		}
		asio::steady_timer timer(this->executor);
		while (!search->is_over(monotonic_now()))
		{
			timer.expires_after(contact_poll_interval);
			std::ignore = co_await timer.async_wait(wait_token);
		}
		auto const found = this->note_runs(service, *search);
		this->log(make_event("stream_origins_searched",
			{{"service", service.str()}, {"engines", std::to_string(search->engines)},
				{"unanswered", std::to_string(search->unanswered)}, {"streams", std::to_string(found)},
				{"parts", std::to_string(search->parts)}, {"unlisted", std::to_string(search->unlisted)},
				{"took_ms", milliseconds_text(monotonic_now() - search->begun_at)}}));
		this->origins->tell_due(monotonic_now());
	}

	std::size_t forwarder::note_runs(service_id const& service, origin_search const& search)
	{
		std::size_t found = 0;
		for (auto const& [attempt, processes] : search.runs)
		{
			if (processes.size() == 1)
			{
				++found;
				auto const& process = *processes.begin();
				auto const version = this->shared->servers.version_of(process);
				routing::known_stream stream{
					{service, version.value_or(software_version())}, search.begun_at, this->shared->own_id};
				stream.process = process;
				stream.is_version_known = version.has_value();
				this->shared->origins.note(attempt, stream);
			}
		}
		return found;
	}

	asio::awaitable<void> forwarder::read_contents(
		routing::server_pointer engine, std::shared_ptr<origin_search> search)
	{
		auto const& entry = engine->entry;
		auto const asked_at = monotonic_now();
		auto const is_watched = this->is_watch_needed(*engine, asked_at);
		routing::process_evidence before;
		if (is_watched)
		{
			this->watches.begin(*engine);
			before = co_await this->ask_watched(engine, contents_timeout);
		}
		auto report_request = this->protocol.write_report_request(entry.id);
		auto const report_text = co_await this->fetch(engine, std::move(report_request), contents_timeout);
		auto const report = report_text ? this->protocol.read_report(*report_text) : std::nullopt;
		this->totals->count_send("report", report ? "served" : "failed");
		// What a process runs and keeps is known to be its own only if it states its start, unless its entry names
		// none.
		auto process = report && (report->started != incarnation() || entry.started == incarnation())
						   ? std::optional(report->started)
						   : std::nullopt;
		if (process && !is_watched)
		{
			this->present_record(engine)->note_stated_start(*process, asked_at, monotonic_now());
		}
		if (is_watched)
		{
			// The process that answered is the one that was there before and still is.
			auto const after = co_await this->ask_watched(engine, contents_timeout);
			process = before.stated() == after.stated() ? after.stated() : std::nullopt;
		}
		if (report && process)
		{
			for (auto const& each : report->running | std::views::filter(&running_stream::has_events))
			{
				search->runs[fingerprint_of(each.attempt)].insert({entry.id, *process});
			}
		}
		routing::stream_origin const holder{entry.service, entry.version};
		auto const is_of_entry = process && (is_watched ? process == engine->writer : process == entry.started);
		std::optional<memory_list> memory;
		if (is_of_entry)
		{
			memory = co_await this->read_memory(engine);
		}
		auto const now = monotonic_now();
		if (memory)
		{
			search->parts += memory->parts.size();
			std::vector<routing::kept_part> kept;
			std::ranges::transform(memory->parts, std::back_inserter(kept),
				[](listed_part const& each) { return routing::kept_part{fingerprint_of(each.id), each.tokens}; });
			this->shared->holders.note_listed(entry.id, holder, kept, now);
		}
		if (!memory || !memory->is_whole)
		{
			++search->unlisted;
			this->shared->holders.note_unlisted(entry.id, holder, now);
		}
		--search->unanswered;
	}

	asio::awaitable<std::optional<memory_list>> forwarder::read_memory(routing::server_pointer engine)
	{
		auto const& entry = engine->entry;
		auto memory_request = this->protocol.write_memory_request(entry.id);
		auto const text = co_await this->fetch(engine, std::move(memory_request), contents_timeout);
		auto memory = text ? this->protocol.read_memory(*text) : std::nullopt;
		if (memory && routing::states_start(routing::as_stream_server(entry)))
		{
			// The list names no start: the process that wrote it is the one that was asked before only if it still is
			// that one afterwards.
			auto const now = monotonic_now();
			auto const seen = co_await this->end_check.ask_start(engine, now, contents_timeout);
			if (routing::judge_start(routing::as_stream_server(entry), seen) != routing::process_state::same)
			{
				memory.reset();
			}
		}
		this->totals->count_send("memory_list", memory ? "served" : "failed");
		co_return memory;
	}
}
