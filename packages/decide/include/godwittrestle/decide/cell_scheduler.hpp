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
	// A prefill turn and a decode slot that the cell owner has handed out.
	struct lease
	{
		std::string attempt;
		request_id request;
		std::uint32_t attempt_number = 0;
		instance_id entry;
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
		// Clock of the entry daemon when it last asked, for it to count the lease's life from.
		std::uint64_t asked_clock = 0;
	};

	// A waiting request that is given up on.
	struct lease_refusal
	{
		waiting_request request;
		wire::LeaseRefusal::Reason reason = wire::LeaseRefusal::TOO_LATE;
		duration retry_after{};
	};

	// What a scheduler decided in one pass.
	struct scheduling_decisions
	{
		std::vector<lease> granted;
		std::vector<lease_refusal> refused;
	};

	// The exact account of one cell at its owner: who waits, who holds a prefill turn, a decode slot or link room.
	// Waiting happens here, before the prefill, so that a refused request has cost no engine anything.
	class cell_scheduler
	{
	  public:
		cell_scheduler(cell definition, std::shared_ptr<active_policy const> policy, core_settings const& settings,
			hooks const& behaviour, time_point now);

		// Takes over a changed list or policy; leases stay.
		void update(cell definition, std::shared_ptr<active_policy const> policy, membership const& members);

		void enqueue(waiting_request request);

		// Returns the lease of an attempt, or nothing.
		[[nodiscard]] lease const* find(std::string const& attempt) const;

		// Takes note of a lease's progress, or takes a lease over that an earlier owner granted.
		void apply(wire::LeaseUpdate const& update, instance_id const& entry, time_point now);

		void apply(server_id const& server, load_report const& report, bool matches_policy, time_point now);

		// Drops leases that were not renewed or whose entry daemon is gone, and requests no longer asked for.
		// Returns the number of lapsed leases.
		std::size_t remove_expired(membership const& members, time_point now);

		// Grants and refuses as far as can be decided now.
		[[nodiscard]] scheduling_decisions decide(time_point now);

		[[nodiscard]] cell const& definition() const noexcept
		{
			return this->cell_definition;
		}

		// Newest cache event known of an engine.
		[[nodiscard]] std::uint64_t cache_sequence(server_id const& server) const;

		// Hands all waiting requests out, as when the ownership moves.
		[[nodiscard]] std::vector<waiting_request> remove_all_waiting();

		[[nodiscard]] cell_status status(time_point now) const;

	  private:
		// Where and when a request could run.
		struct placement
		{
			prefill_engine* prefill = nullptr;
			decode_engine* decode = nullptr;
			token_count computed_tokens;
			duration prefill_time{};
			time_point transfer_start;
			time_point transfer_end;
		};

		// Capacity that requests ahead in the queue leave, summed up in one pass.
		struct capacity_forecast
		{
			duration prefill_backlog{};
			std::size_t usable_prefill = 0;
			std::size_t usable_decode = 0;
			int slots_left = 0;
			double releases_per_us = 0;
		};

		// Takes note of when there last was a usable engine and since when the slots are taken.
		void update_capacity_state(capacity_forecast const& ahead, time_point now);
		[[nodiscard]] std::vector<waiting_request> waiting_in_order(time_point now) const;
		// Returns why a request that can't be granted now is given up on; nothing while it may wait.
		[[nodiscard]] std::optional<lease_refusal> refusal_for(
			waiting_request const& request, capacity_forecast const& ahead, time_point now) const;
		// Counts a request that stays in the queue against those behind it.
		void add_waiting(capacity_forecast& ahead, waiting_request const& request) const;
		[[nodiscard]] capacity_forecast make_forecast(time_point now) const;
		[[nodiscard]] duration predict_first_token(
			waiting_request const& request, capacity_forecast const& ahead, time_point now) const;
		[[nodiscard]] std::optional<placement> place(waiting_request const& request, time_point now);
		[[nodiscard]] std::optional<placement> place_on(
			prefill_engine& engine, waiting_request const& request, time_point now) const;
		// Whether a request had better wait for an engine that has more of its prompt, and is still in time then.
		[[nodiscard]] bool awaits_cached_prefix(
			waiting_request const& request, std::optional<placement> const& open, time_point now) const;
		// Tokens that an engine most likely has to compute for a request.
		[[nodiscard]] token_count tokens_to_compute(prefill_engine const& engine, waiting_request const& request) const;
		[[nodiscard]] decode_engine* choose_decode(
			data_centre_id const& near, std::vector<server_id> const& excluded, bool must_be_free, time_point now);
		[[nodiscard]] duration transfer_time(token_count prompt_tokens) const noexcept;
		[[nodiscard]] duration expected_token_gap() const noexcept;
		lease grant(waiting_request const& request, placement const& where, time_point now);
		void release(std::string const& attempt, bool has_ended, time_point now);
		void restore_lease(wire::LeaseUpdate const& update, instance_id const& entry, time_point now);
		void update_phase(lease& held, wire::LeaseUpdate const& update, time_point now);
		void record_failures(wire::LeaseUpdate const& update, time_point now);
		void update_release_rate(time_point now);

		cell cell_definition;
		std::shared_ptr<active_policy const> policy;
		core_settings const* settings;
		hooks const* behaviour;
		time_point created;
		// When there last was a usable engine of either kind.
		time_point usable_at;
		// Since when nearly all slots are taken; nothing while some are free.
		std::optional<time_point> saturated_since;
		lease_queue queue;
		std::map<std::string, lease> leases;
		// Attempts released lately, which reports may still name.
		std::map<std::string, time_point> released;
		std::map<server_id, prefill_engine> prefill;
		std::map<server_id, decode_engine> decode;
		duration token_gap_target{};
		// Smoothed share of the active leases that ends in a microsecond.
		double release_rate = 0;
		time_point release_rate_read_at;
		std::uint32_t releases_since_reading = 0;
	};
}
