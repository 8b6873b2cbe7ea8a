#include <godwittrestle/routing/fair_share.hpp>

#include <algorithm>

namespace godwittrestle::routing
{
	fair_tag fair_share::next_tag(account_id const& account) const
	{
		auto const known = this->served_until.find(account);
		return known == this->served_until.end() ? this->virtual_time : std::max(known->second, this->virtual_time);
	}

	void fair_share::note_served(account_id const& account, token_count work)
	{
		this->virtual_time = this->next_tag(account);
		this->served_until[account] = this->virtual_time + fair_tag(work.count());
		std::erase_if(this->served_until, [this](auto const& each) { return each.second <= this->virtual_time; });
	}
}
