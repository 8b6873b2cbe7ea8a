#include <godwittrestle/routing/prompt_holders.hpp>

#include <algorithm>
#include <utility>

namespace godwittrestle::routing
{
	void prompt_holders::note_listed(
		server_id const& engine, stream_origin const& holder, std::vector<kept_part> const& kept, time_point now)
	{
		if (this->parts.size() + kept.size() > max_parts)
		{
			this->note_unlisted(engine, holder, now);
			return;
		}
		this->unlisted.erase(engine);
		for (auto const& each : kept)
		{
			auto& holders = this->parts[each.part];
			auto& tokens = holders.tokens[holder];
			tokens = std::max(tokens, each.tokens);
			holders.noted_at = now;
		}
	}

	void prompt_holders::note_unlisted(server_id const& engine, stream_origin const& origin, time_point now)
	{
		this->unlisted[engine] = {origin, now};
	}

	std::optional<software_version> prompt_holders::only_writer(unrecorded_stream const& stream) const
	{
		auto const found = this->parts.find(stream.last_part);
		if (found == this->parts.end())
		{
			return std::nullopt;
		}
		auto const least = stream.part_tokens.count() + std::max(1U, stream.generated.count());
		std::set<software_version> writers;
		for (auto const& [holder, tokens] : found->second.tokens)
		{
			if (holder.service == stream.service && tokens.count() >= least)
			{
				writers.insert(holder.version);
			}
		}
		if (writers.size() != 1)
		{
			return std::nullopt;
		}
		auto const& writer = *writers.begin();
		auto const is_other_unlisted = std::ranges::any_of(this->unlisted, [&](auto const& item)
			{ return item.second.origin.service == stream.service && item.second.origin.version != writer; });
		return is_other_unlisted ? std::nullopt : std::optional(writer);
	}

	std::optional<stream_origin> prompt_holders::only_keeper(service_id const& service, fingerprint last_part) const
	{
		auto const found = this->parts.find(last_part);
		if (found == this->parts.end() || found->second.tokens.size() != 1)
		{
			return std::nullopt;
		}
		auto const& keeper = found->second.tokens.begin()->first;
		return keeper.service == service ? std::optional(keeper) : std::nullopt;
	}

	void prompt_holders::expire(time_point before)
	{
		std::erase_if(this->parts, [&](auto const& item) { return item.second.noted_at < before; });
		std::erase_if(this->unlisted, [&](auto const& item) { return item.second.noted_at < before; });
	}
}
