#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// What a rate limit counts.
	enum class limit_unit
	{
		requests,
		// The tokens of the prompt and the most output tokens that the caller wants.
		tokens,
	};

	// The most that an account may ask of all daemons together.
	struct rate_limit
	{
		limit_unit unit = limit_unit::requests;
		// Units a second.
		double rate = 0;
		// Units that may come at once after a pause.
		double burst = 0;
		// Tokens that a request counts that names none.
		token_count default_tokens;

		[[nodiscard]] bool operator==(rate_limit const&) const = default;
	};

	// A client account. Its callers show one of its keys.
	struct client_account
	{
		account_id id;
		std::vector<key_digest> keys;
		// Takes precedence over the priority of the route.
		std::optional<std::uint32_t> priority;
		// Nothing when the account may ask for any amount.
		std::optional<rate_limit> limit;
	};

	// What a request shows of its caller.
	struct caller_credential
	{
		// Whether the request tries to show a key, readable or not.
		bool is_present = false;
		// Nothing when there is no key, or none that can be read.
		std::optional<key_digest> key;
	};

	enum class identity_outcome
	{
		// The key is one of an account's.
		known,
		// The route asks for no key, and the request shows none of an account's.
		anonymous,
		missing_key,
		unknown_key,
	};

	[[nodiscard]] std::string_view to_string(identity_outcome outcome) noexcept;

	// The decision on who calls.
	struct caller_identity
	{
		identity_outcome outcome = identity_outcome::anonymous;
		// Null unless the outcome is known. Lives as long as the table that was asked.
		client_account const* account = nullptr;
	};

	// Returns the digest under which a key is looked up.
	[[nodiscard]] key_digest digest_of_key(std::string_view key);

	// Finds the account of a key. Keys are kept and compared as digests, so the time of a look-up says nothing about
	// the keys that exist.
	class account_table
	{
	  public:
		account_table() = default;
		explicit account_table(std::vector<client_account> accounts);

		// Returns whether the configuration has accounts. Without them nobody has to show a key.
		[[nodiscard]] bool is_in_force() const noexcept
		{
			return this->has_accounts;
		}

		// Returns null when no account has the key.
		[[nodiscard]] client_account const* find(key_digest const& key) const;

		[[nodiscard]] client_account const* find(account_id const& id) const;

		// Decides who calls. is_key_optional: whether the route serves callers without a key.
		[[nodiscard]] caller_identity identify(caller_credential const& shown, bool is_key_optional) const;

		[[nodiscard]] std::vector<client_account> const& all() const noexcept
		{
			return this->accounts;
		}

	  private:
		bool has_accounts = false;
		std::vector<client_account> accounts;
		// Positions in accounts.
		std::unordered_map<std::string, std::size_t> by_key;
		std::unordered_map<std::string, std::size_t> by_id;
	};

	// Returns how much of its account's limit a request uses. named_tokens: those that the request names; nothing when
	// it names none.
	[[nodiscard]] double request_cost(rate_limit const& limit, std::optional<std::uint64_t> named_tokens) noexcept;
}
