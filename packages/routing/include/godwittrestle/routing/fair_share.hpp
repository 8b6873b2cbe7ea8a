#pragma once

#include <cstdint>
#include <map>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/strong_type.hpp>
#include <godwittrestle/base/units.hpp>

namespace godwittrestle::routing
{
	// Virtual time of fair queueing, in tokens.
	using fair_tag = strong_count<struct fair_tag_tag, std::uint64_t>;

	// Start-time fair queueing over client accounts of equal weight. An account's tag is the virtual time up to which
	// it was served, and the account with the lowest tag goes first. Virtual time is the tag of what was served last,
	// so it passes only with work. An account that asks for less than its share saves nothing up, and one that used
	// capacity that nobody else wanted owes nothing for it.
	class fair_share
	{
	  public:
		// Returns the tag from which the account's next work counts.
		[[nodiscard]] fair_tag next_tag(account_id const& account) const;

		// Records work that was done for the account.
		void note_served(account_id const& account, token_count work);

		// Returns the number of accounts that are ahead of virtual time. The others need no state.
		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->served_until.size();
		}

	  private:
		fair_tag virtual_time;
		std::map<account_id, fair_tag> served_until;
	};
}
