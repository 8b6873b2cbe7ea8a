#include <godwittrestle/routing/account.hpp>

#include <utility>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::routing
{
	namespace
	{
		client_account const* find_in(std::vector<client_account> const& accounts,
			std::unordered_map<std::string, std::size_t> const& positions, std::string const& name)
		{
			auto const found = positions.find(name);
			return found == positions.end() ? nullptr : &accounts[found->second];
		}
	}

	std::string_view to_string(identity_outcome outcome) noexcept
	{
		switch (outcome)
		{
			case identity_outcome::known:
				return "known";
			case identity_outcome::anonymous:
				return "anonymous";
			case identity_outcome::missing_key:
				return "missing_key";
			case identity_outcome::unknown_key:
				return "unknown_key";
		}
		return "unknown_key";
	}

	key_digest digest_of_key(std::string_view key)
	{
		return key_digest(sha256_hex(key));
	}

	account_table::account_table(std::vector<client_account> given)
		: has_accounts(true)
		, accounts(std::move(given))
	{
		for (std::size_t position = 0; position < this->accounts.size(); ++position)
		{
			auto const& each = this->accounts[position];
			this->by_id.emplace(each.id.str(), position);
			for (auto const& key : each.keys)
			{
				this->by_key.emplace(key.str(), position);
			}
		}
	}

	client_account const* account_table::find(key_digest const& key) const
	{
		return find_in(this->accounts, this->by_key, key.str());
	}

	client_account const* account_table::find(account_id const& id) const
	{
		return find_in(this->accounts, this->by_id, id.str());
	}

	caller_identity account_table::identify(caller_credential const& shown, bool is_key_optional) const
	{
		auto const* const account = shown.key ? this->find(*shown.key) : nullptr;
		if (account != nullptr)
		{
			return {identity_outcome::known, account};
		}
		if (is_key_optional)
		{
			return {identity_outcome::anonymous, nullptr};
		}
		return {shown.is_present ? identity_outcome::unknown_key : identity_outcome::missing_key, nullptr};
	}

	double request_cost(rate_limit const& limit, std::optional<std::uint64_t> named_tokens) noexcept
	{
		if (limit.unit == limit_unit::requests)
		{
			return 1;
		}
		return static_cast<double>(named_tokens.value_or(limit.default_tokens.count()));
	}
}
