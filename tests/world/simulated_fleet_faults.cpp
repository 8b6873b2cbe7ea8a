#include "simulated_fleet.hpp"

#include <algorithm>

namespace godwittrestle::testing
{
	void simulated_fleet::publish(policy::SealedPolicy const& document)
	{
		this->published.push_back(document);
	}

	void simulated_fleet::set_platform_outage(bool out)
	{
		this->is_platform_down = out;
	}

	void simulated_fleet::limit_visible_policies(std::size_t documents)
	{
		this->has_policy_limit = documents > 0;
		this->visible_policies = documents;
	}

	void simulated_fleet::set_list_lag(duration lag)
	{
		this->list_lag = lag;
	}

	void simulated_fleet::change_list(std::function<void(decide::instance_list&)> const& change)
	{
		this->schedule(this->list_lag,
			[this, change]
			{
				change(this->list);
				this->list.version += platform_version(1);
			});
	}

	void simulated_fleet::list_as_leaving(std::string const& name)
	{
		this->change_list(
			[name](decide::instance_list& changed)
			{
				for (auto& server : changed.servers)
				{
					server.leaving = server.leaving || server.id.str() == name;
				}
				for (auto& listed : changed.daemons)
				{
					listed.leaving = listed.leaving || listed.id.str() == name;
				}
			});
	}

	void simulated_fleet::cut_link(std::string const& left, std::string const& right)
	{
		this->cut_links.insert({left, right});
	}

	void simulated_fleet::hold_link(std::string const& left, std::string const& right)
	{
		this->held_links.try_emplace({left, right});
	}

	void simulated_fleet::heal_link(std::string const& left, std::string const& right)
	{
		std::set<std::string> const link{left, right};
		this->cut_links.erase(link);
		if (auto const held = this->held_links.extract(link))
		{
			std::ranges::for_each(held.mapped(), [](std::function<void()> const& run) { run(); });
		}
	}

	void simulated_fleet::heal_all_links()
	{
		this->cut_links.clear();
		while (!this->held_links.empty())
		{
			auto const link = this->held_links.begin()->first;
			this->heal_link(*link.begin(), *link.rbegin());
		}
	}

	void simulated_fleet::set_message_faults(double message_loss, double duplication)
	{
		this->loss_probability = message_loss;
		this->duplicate_probability = duplication;
	}
}
