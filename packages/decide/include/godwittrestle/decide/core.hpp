#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/decide/cancellations.hpp>
#include <godwittrestle/decide/cell.hpp>
#include <godwittrestle/decide/cell_owner.hpp>
#include <godwittrestle/decide/completions.hpp>
#include <godwittrestle/decide/configuration.hpp>
#include <godwittrestle/decide/counters.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/decide/keyed_calls.hpp>
#include <godwittrestle/decide/limits.hpp>
#include <godwittrestle/decide/membership.hpp>
#include <godwittrestle/decide/plain_calls.hpp>
#include <godwittrestle/decide/settings.hpp>
#include <godwittrestle/decide/status.hpp>

namespace godwittrestle::decide
{
	// Makes all decisions of one daemon. It is deterministic: it uses no clock, socket, thread or unseeded randomness,
	// and the same events at the same times give the same actions.
	//
	//     decide::core core(settings, decide::default_hooks());
	//     for (auto const& action : core.handle(decide::tick{}, now))
	//     {
	//         std::visit(carry_out, action);
	//     }
	class core
	{
	  public:
		core(core_settings settings, hooks behaviour);

		core(core const&) = delete;
		core& operator=(core const&) = delete;
		core(core&&) = delete;
		core& operator=(core&&) = delete;
		~core() = default;

		// Handles an event. now must not be earlier than in the previous call. Returns the actions to carry out, in
		// order.
		[[nodiscard]] std::vector<action> handle(event const& input, time_point now);

		// Returns the latest time at which a tick must be passed to handle().
		[[nodiscard]] time_point next_wakeup(time_point now) const noexcept;

		[[nodiscard]] core_status status(time_point now) const;

		// Returns where a request for a service would be sent now, and why.
		[[nodiscard]] explanation explain(service_id const& service, time_point now) const;

		// Returns the configuration. The next document is sealed on its policy in force, if there is one yet.
		[[nodiscard]] configuration const& config() const noexcept
		{
			return this->policies;
		}

		[[nodiscard]] core_settings const& settings() const noexcept
		{
			return this->own_settings;
		}

	  private:
		// Interval of the checks that look at the whole fleet, which are too costly for each tick.
		static constexpr duration check_interval = milliseconds(50);

		void handle(tick const& input, event_context& context);
		void handle(completion_requested const& input, event_context& context);
		void handle(plain_requested const& input, event_context& context);
		void handle(keys_requested const& input, event_context& context);
		void handle(caller_gone const& input, event_context& context);
		void handle(peer_received const& input, event_context& context);
		void handle(peer_unreachable const& input, event_context& context);
		void handle(peer_probed const& input, event_context& context);
		void handle(prefill_finished const& input, event_context& context);
		void handle(token_received const& input, event_context& context);
		void handle(decode_finished const& input, event_context& context);
		void handle(plain_answered const& input, event_context& context);
		void handle(call_failed const& input, event_context& context);
		void handle(cancel_acknowledged const& input, event_context& context);
		void handle(load_reported const& input, event_context& context);
		void handle(policy_read const& input, event_context& context);
		void handle(platform_confirmed const& input, event_context& context);
		void handle(instances_read const& input, event_context& context);
		void handle(drain_requested const& input, event_context& context);

		void receive(wire::PeerMessage const& message, event_context& context);
		void dispatch(wire::PeerMessage const& message, event_context& context);
		void handle_heartbeat(wire::PeerMessage const& message, event_context& context);
		// Dispatches the messages that this daemon has sent to itself.
		void deliver_local(event_context& context);
		// Runs the checks that look at the whole fleet; due once every check_interval.
		void check_fleet(event_context& context);
		// Detects that the process was paused for longer than the peer timeout, and suspends granting and ordering.
		void detect_pause(event_context& context);
		// Ends the check after a pause when a peer has answered, when there are no peers, or after a timeout.
		void end_pause_check(event_context& context);
		// Applies changes of the policy, the instance list and the membership to the cells and their owners.
		void refresh_cells(event_context& context);
		void announce_config_change(event_context& context);
		void update_readiness(event_context& context);
		// Returns whether no newer policy can be in force elsewhere, as far as this daemon can tell.
		[[nodiscard]] bool is_policy_current(time_point now) const;
		void choose_watchers(event_context& context);
		void continue_leaving(event_context& context);
		[[nodiscard]] heartbeat_payload make_heartbeat_payload() const;

		// Returns the account under which to serve a request; or refuses the request and returns nullptr.
		[[nodiscard]] policy::Account const* admit(request_id const& request, service_id const& service,
			std::string const& bearer_token, event_context& context);
		void refuse(request_id const& request, refusal_kind kind, std::string message, std::string remedy,
			duration retry_after, event_context& context);

		core_settings own_settings;
		hooks behaviour;
		counters totals;
		hybrid_clock clock;
		membership members;
		configuration policies;
		limits request_limits;
		call_id_generator calls;
		cancellations cancels;
		plain_server_choice servers;
		cell_owner owner;
		completions streams;
		plain_calls repeatable_calls;
		keyed_calls keyed;
		std::shared_ptr<std::vector<cell> const> cells = std::make_shared<std::vector<cell> const>();
		readiness state = readiness::starting;
		std::optional<time_point> last_turn;
		// When a pause of the process was detected; empty once the daemon has checked its view of the fleet.
		std::optional<time_point> unverified_since;
		owner_authority authority;
		std::optional<time_point> fleet_checked_at;
		time_point watchers_chosen_at;
		std::optional<time_point> confirmed_at;
		std::optional<time_point> first_list_at;
		std::optional<time_point> leaving_since;
		std::optional<bool> watching;
		std::uint64_t applied_generation = 0;
		time_point refreshed_at;
		platform_version applied_policy_version;
		platform_version applied_list_version;
		bool has_left = false;
	};
}
