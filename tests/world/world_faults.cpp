#include "world.hpp"

#include <algorithm>

namespace godwittrestle::testing
{
	void world::publish(policy::SealedPolicy const& document)
	{
		this->published.push_back(document);
	}

	void world::set_outage(bool out)
	{
		this->is_out = out;
	}

	void world::set_stale(std::size_t documents)
	{
		this->is_stale = documents > 0;
		this->stale_policies = documents;
	}

	void world::set_list_lag(duration lag)
	{
		this->list_lag = lag;
	}

	void world::change_list(std::function<void(decide::instance_list&)> const& change)
	{
		this->at(this->list_lag,
			[this, change]
			{
				change(this->list);
				this->list.version += platform_version(1);
			});
	}

	void world::list_as_leaving(std::string const& name)
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

	void world::cut(std::string const& left, std::string const& right)
	{
		this->cuts.insert({left, right});
	}

	void world::hold(std::string const& left, std::string const& right)
	{
		this->holding.try_emplace({left, right});
	}

	void world::heal(std::string const& left, std::string const& right)
	{
		std::set<std::string> const link{left, right};
		this->cuts.erase(link);
		if (auto const held = this->holding.extract(link))
		{
			std::ranges::for_each(held.mapped(), [](std::function<void()> const& run) { run(); });
		}
	}

	void world::heal_all()
	{
		this->cuts.clear();
		while (!this->holding.empty())
		{
			auto const link = this->holding.begin()->first;
			this->heal(*link.begin(), *link.rbegin());
		}
	}

	void world::set_noise(double lost, double doubled)
	{
		this->loss = lost;
		this->doubling = doubled;
	}
}
