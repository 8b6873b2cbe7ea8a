#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/cell.hpp>
#include <godwittrestle/decide/engine.hpp>
#include <godwittrestle/decide/fwd.hpp>
#include <godwittrestle/decide/lease_queue.hpp>
#include <godwittrestle/decide/settings.hpp>
#include <godwittrestle/decide/status.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::decide
{
	// A prefill on one engine and a decode slot on another, granted to one attempt of a request.
	struct lease
	{
		std::string attempt;
		request_id request;
		std::uint32_t attempt_number = 0;
		// The daemon that received the request from the caller.
		instance_id entry_daemon;
		service_id service;
		account_id account;
		server_id prefill_server;
		server_id decode_server;
		wire::LeaseUpdate::Phase phase = wire::LeaseUpdate::PREFILLING;
		token_count prompt_tokens;
		token_count output_tokens;
		std::uint32_t produced = 0;
		time_point granted_at;
		time_point renewed_at;
		// Reading of the entry daemon's clock when it last asked for the lease, in microseconds. The grant returns this
		// value, and the entry daemon counts the lifetime of the lease from it.
		std::uint64_t asked_clock = 0;
	};

	// A waiting request that is refused, with the reason and the time after which to retry.
	struct lease_refusal
	{
		waiting_request request;
		wire::LeaseRefusal::Reason reason = wire::LeaseRefusal::TOO_LATE;
		duration retry_after{};
	};

	// The result of one scheduling pass.
	struct scheduling_decisions
	{
		std::vector<lease> granted;
		std::vector<lease_refusal> refused;
	};

	// Schedules the engines of one cell at its owner. It holds the queue of waiting requests and the leases, and tracks
	// the prefills, decode slots and link use of the engines. Requests wait here, before the prefill, so that a refused
	// request has cost no engine any work.
	class cell_scheduler
	{
	  public:
		cell_scheduler(cell definition, std::shared_ptr<active_policy const> policy, core_settings const& settings,
			hooks const& behaviour, time_point now);

		// Applies a changed cell definition, instance list or policy. Leases are kept.
		void update(cell definition, std::shared_ptr<active_policy const> policy, membership const& members);

		// Adds a request to the queue. If the same attempt already waits, updates its entry.
		void enqueue(waiting_request request);

		// Returns the lease of an attempt, or nullptr.
		[[nodiscard]] lease const* find(std::string const& attempt) const;

		// Records the progress or the release of a lease. Adds a lease that is unknown here, because an earlier owner
		// granted it.
		void apply(wire::LeaseUpdate const& update, instance_id const& entry_daemon, time_point now);

		// Records a load report. matches_policy: whether the engine has the model and the role that the policy assigns
		// to it.
		void apply(server_id const& server, load_report const& report, bool matches_policy, time_point now);

		// Removes leases that were not renewed within the lease lifetime or whose originating daemon is proved gone,
		// and waiting requests that their entry daemons stopped asking for. Also updates the release rate and the
		// limits of the decode engines. Returns the number of removed leases.
		std::size_t remove_expired(membership const& members, time_point now);

		// Grants and refuses waiting requests, as far as this can be decided now.
		[[nodiscard]] scheduling_decisions decide(time_point now);

		[[nodiscard]] cell const& definition() const noexcept
		{
			return this->cell_definition;
		}

		// Returns the sequence number of the newest cache event that was applied from a prefill engine; 0 for other
		// servers.
		[[nodiscard]] std::uint64_t cache_sequence(server_id const& server) const;

		// Removes and returns all waiting requests. Called when this daemon no longer owns the cell.
		[[nodiscard]] std::vector<waiting_request> remove_all_waiting();

		[[nodiscard]] cell_status status(time_point now) const;

	  private:
		// The engines on which a request could run, with the expected times.
		struct placement
		{
			prefill_engine* prefill = nullptr;
			decode_engine* decode = nullptr;
			token_count computed_tokens;
			duration prefill_time{};
			time_point transfer_start;
			time_point transfer_end;
		};

		// Expected load and free capacity of the cell, with the requests ahead in the queue taken into account.
		struct capacity_forecast
		{
			duration prefill_backlog{};
			std::size_t usable_prefill = 0;
			std::size_t usable_decode = 0;
			int slots_left = 0;
			double releases_per_us = 0;
		};

		// Updates usable_at and saturated_since.
		void update_capacity_state(capacity_forecast const& capacity, time_point now);
		[[nodiscard]] std::vector<waiting_request> waiting_in_order(time_point now) const;
		// Returns the refusal of a request that cannot be granted now, or nothing while it may go on waiting.
		[[nodiscard]] std::optional<lease_refusal> refusal_for(
			waiting_request const& request, capacity_forecast const& capacity, time_point now) const;
		// Adds a request that stays in the queue to the forecast for the requests behind it.
		void add_waiting(capacity_forecast& capacity, waiting_request const& request) const;
		[[nodiscard]] capacity_forecast make_forecast(time_point now) const;
		// Predicts the time from now to the first token of a request.
		[[nodiscard]] duration predict_first_token(
			waiting_request const& request, capacity_forecast const& capacity, time_point now) const;
		[[nodiscard]] std::optional<placement> place(waiting_request const& request, time_point now);
		[[nodiscard]] std::optional<placement> place_on(
			prefill_engine& engine, waiting_request const& request, time_point now) const;
		// Returns whether a request should wait for an engine that has more of its prompt cached, because its first
		// token would still meet the target. Only for services with the WASTE objective.
		[[nodiscard]] bool awaits_cached_prefix(
			waiting_request const& request, std::optional<placement> const& available, time_point now) const;
		// Returns how many prompt tokens an engine most likely has to compute for a request.
		[[nodiscard]] token_count tokens_to_compute(prefill_engine const& engine, waiting_request const& request) const;
		[[nodiscard]] decode_engine* choose_decode(
			data_centre_id const& near, std::vector<server_id> const& excluded, bool must_be_free, time_point now);
		[[nodiscard]] duration transfer_time(token_count prompt_tokens) const noexcept;
		// Returns the mean of the measured token gaps of the decode engines, or the target before any measurement.
		[[nodiscard]] duration expected_token_gap() const noexcept;
		lease grant(waiting_request const& request, placement const& target, time_point now);
		void release(std::string const& attempt, bool has_ended, time_point now);
		void restore_lease(wire::LeaseUpdate const& update, instance_id const& entry_daemon, time_point now);
		void update_phase(lease& held, wire::LeaseUpdate const& update, time_point now);
		void record_failures(wire::LeaseUpdate const& update, time_point now);
		void update_release_rate(time_point now);

		cell cell_definition;
		std::shared_ptr<active_policy const> policy;
		core_settings const* settings;
		hooks const* behaviour;
		time_point created;
		// When a prefill engine and a decode engine were last usable at the same time; initially the time of creation.
		time_point usable_at;
		// When the cell became saturated, with at most a twentieth of its decode slots left; empty while it is not
		// saturated.
		std::optional<time_point> saturated_since;
		lease_queue queue;
		std::map<std::string, lease> leases;
		// Recently released attempts with the time of their release; load reports may still name them.
		std::map<std::string, time_point> released;
		std::map<server_id, prefill_engine> prefill;
		std::map<server_id, decode_engine> decode;
		duration token_gap_target{};
		// Smoothed fraction of the active leases that ends per microsecond; 0 before the first reading.
		double release_rate = 0;
		time_point release_rate_read_at;
		std::uint32_t releases_since_reading = 0;
	};
}
