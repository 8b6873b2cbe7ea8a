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
	// What an idempotency key says in plain text.
	struct key_parts
	{
		instance_id issuer;
		incarnation started;
		std::uint64_t sequence = 0;
		// Microseconds on the issuer's clock.
		std::uint64_t expires = 0;
		std::string mac;
	};

	// Splits a key into its parts without checking its MAC; nothing when the text is no key.
	[[nodiscard]] std::optional<key_parts> parse_key(std::string_view key);

	// Which idempotency keys of one issuer's incarnation are used, and what came of them. One daemon at a time holds
	// the table of an issuer, and whoever holds it decides alone. Two bits a key are kept as long as the table lives;
	// answers are bounded by size.
	class key_table
	{
	  public:
		enum class state : std::uint8_t
		{
			unused,
			running,
			finished,
			// Never to be run: 'not run' was said of it.
			voided,
		};

		key_table(instance_id issuer, incarnation started, std::string secret, byte_count answer_budget);

		// Returns a new key for an account.
		[[nodiscard]] std::string issue(account_id const& account, time_point expires);

		// Whether a key was issued by this table's issuer for this account.
		[[nodiscard]] bool is_genuine(key_parts const& key, account_id const& account) const;

		[[nodiscard]] state state_of(std::uint64_t sequence) const noexcept;

		// Marks a key as used by a call, before anything is sent. The fingerprint tells calls apart.
		void begin(std::uint64_t sequence, std::uint64_t fingerprint);

		// Records what came of a call.
		void finish(std::uint64_t sequence, wire::KeyedOutcome result);

		// Forgets that a key was used. Only tests that show what happens without the record call this.
		void forget(std::uint64_t sequence);

		// Returns the recorded result; with the answer dropped when it is no longer held.
		[[nodiscard]] wire::KeyedOutcome result_of(std::uint64_t sequence) const;

		// Whether a used key was used with another call than the fingerprint's.
		[[nodiscard]] bool is_mismatch(std::uint64_t sequence, std::uint64_t fingerprint) const;

		// Returns the whole table for a successor. The caller must not use this one any more.
		[[nodiscard]] wire::KeyTableMove export_table() const;

		// Builds the table that a leaving issuer handed over.
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
		byte_count held;
		std::vector<state> states;
		std::map<std::uint64_t, recorded_call> records;
		// Finished calls whose answers are held, oldest first.
		std::deque<std::uint64_t> answers;
	};
}
