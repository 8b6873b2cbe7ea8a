#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/wire.hpp>

namespace godwittrestle::decide
{
	// The fields of an idempotency key.
	struct key_parts
	{
		instance_id issuer;
		incarnation started;
		std::uint64_t sequence = 0;
		// In microseconds on the issuer's clock.
		std::uint64_t expires = 0;
		std::string mac;
	};

	// Parses a key without checking its MAC. Returns nothing if the text does not have the form of a key.
	[[nodiscard]] std::optional<key_parts> parse_key(std::string_view key);

	// Records which idempotency keys of one issuer's incarnation are used, and the outcome of their calls. One daemon
	// at a time holds the table of an issuer, and only that daemon decides about its keys. The state of each key, one
	// byte, is kept as long as the table exists. The recorded answers are limited in total size and in number.
	class key_table
	{
	  public:
		enum class state : std::uint8_t
		{
			unused,
			running,
			finished,
			// The call must never run, because its outcome was recorded as NOT_RUN.
			voided,
		};

		key_table(instance_id issuer, incarnation started, std::string secret, byte_count answer_budget);

		// Issues a new key for an account.
		[[nodiscard]] std::string issue(account_id const& account, time_point expires);

		// Tells whether this table's issuer issued the key for this account.
		[[nodiscard]] bool is_genuine(key_parts const& key, account_id const& account) const;

		// Returns the state of a key; voided if no key with this sequence number was issued.
		[[nodiscard]] state state_of(std::uint64_t sequence) const noexcept;

		// Marks a key as used by a call. Must happen before the call is sent. The fingerprint identifies the call's
		// content.
		void begin(std::uint64_t sequence, std::uint64_t fingerprint);

		// Records the outcome of a call.
		void finish(std::uint64_t sequence, wire::KeyedOutcome result);

		// Forgets that a key was used. Called only when a test has switched key_recorded_before_send off.
		void forget(std::uint64_t sequence);

		// Returns the recorded result. If the record was dropped, returns only the outcome, with answer_dropped set for
		// a call that ran.
		[[nodiscard]] wire::KeyedOutcome result_of(std::uint64_t sequence) const;

		// Tells whether the key was used for a call with another fingerprint. False if the record was dropped.
		[[nodiscard]] bool is_mismatch(std::uint64_t sequence, std::uint64_t fingerprint) const;

		// Returns the whole table for a successor. This table must not be used after that.
		[[nodiscard]] wire::KeyTableMove export_table() const;

		// Returns the table that a leaving daemon exported.
		[[nodiscard]] static key_table import_table(wire::KeyTableMove const& moved, byte_count answer_budget);

		[[nodiscard]] instance_id const& issuer() const noexcept
		{
			return this->issued_by;
		}

		[[nodiscard]] incarnation started() const noexcept
		{
			return this->issuer_started;
		}

		[[nodiscard]] std::uint64_t issued() const noexcept
		{
			return this->states.size();
		}

	  private:
		[[nodiscard]] std::string mac_of(key_parts const& key, account_id const& account) const;
		void drop_old_answers();

		struct recorded_call
		{
			wire::KeyedOutcome result;
			std::uint64_t fingerprint = 0;
		};

		instance_id issued_by;
		incarnation issuer_started;
		std::string secret;
		byte_count budget;
		// Total size of the answers held.
		byte_count held;
		std::vector<state> states;
		std::map<std::uint64_t, recorded_call> records;
		// Sequence numbers of the finished calls whose answers are held, oldest first.
		std::deque<std::uint64_t> answers;
	};
}
