#include <godwittrestle/routing/stream_origins.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace godwittrestle::routing
{
	namespace
	{
		bool says_the_same(known_stream const& left, known_stream const& right)
		{
			return left.origin == right.origin && left.is_version_known == right.is_version_known;
		}

		// Returns whether what is told of a stream takes the place of what is known.
		bool supersedes(known_stream const& told, known_stream const& known, instance_id const& own_id)
		{
			if (told.learnt_from == known.learnt_from && told.revision != known.revision)
			{
				return told.revision > known.revision;
			}
			// This daemon takes up only streams whose version it has learnt.
			auto const tells_version = told.is_version_known && !known.is_version_known && told.learnt_from == own_id;
			return !says_the_same(told, known) && (tells_version || told.begun_at < known.begun_at);
		}
	}

	stream_origins::stream_origins(instance_id own, rank_function ranking)
		: own_id(std::move(own))
		, rank(std::move(ranking))
	{
	}

	void stream_origins::note(fingerprint attempt, known_stream const& stream)
	{
		auto const found = this->records.find(attempt);
		if (found == this->records.end() || supersedes(stream, found->second.stream, this->own_id))
		{
			this->replace(attempt, stream);
		}
		else if (says_the_same(stream, found->second.stream))
		{
			auto& known = found->second.stream;
			if (stream.learnt_from == this->own_id)
			{
				known.learnt_from = this->own_id;
			}
			known.begun_at = std::min(known.begun_at, stream.begun_at);
		}
		if (this->records.size() > max_records)
		{
			this->drop_oldest();
		}
	}

	void stream_origins::replace(fingerprint attempt, known_stream stream)
	{
		if (stream.is_version_known)
		{
			this->unversioned.erase(attempt);
		}
		else
		{
			this->unversioned.insert(attempt);
		}
		this->records[attempt] = record{std::move(stream), 0, {}};
	}

	void stream_origins::correct(fingerprint attempt, known_stream stream)
	{
		auto const found = this->records.find(attempt);
		stream.revision = found == this->records.end() ? 0 : found->second.stream.revision + 1;
		this->replace(attempt, std::move(stream));
	}

	std::set<server_process> stream_origins::unversioned_processes() const
	{
		std::set<server_process> processes;
		for (auto const attempt : this->unversioned)
		{
			if (auto const found = this->records.find(attempt);
				found != this->records.end() && found->second.stream.process)
			{
				processes.insert(*found->second.stream.process);
			}
		}
		return processes;
	}

	std::size_t stream_origins::set_version(server_process const& process, software_version const& version)
	{
		std::size_t count = 0;
		for (auto const attempt : std::set<fingerprint>(this->unversioned))
		{
			auto const found = this->records.find(attempt);
			if (found == this->records.end() || found->second.stream.process != process)
			{
				continue;
			}
			auto learnt = found->second.stream;
			learnt.origin.version = version;
			learnt.is_version_known = true;
			learnt.revision += learnt.learnt_from == this->own_id ? 1 : 0;
			this->replace(attempt, std::move(learnt));
			++count;
		}
		return count;
	}

	known_stream const* stream_origins::find(fingerprint attempt) const
	{
		auto const found = this->records.find(attempt);
		return found == this->records.end() ? nullptr : &found->second.stream;
	}

	void stream_origins::expire(time_point before)
	{
		std::erase_if(this->records, [&](auto const& item) { return item.second.stream.begun_at < before; });
		std::erase_if(this->unversioned, [&](fingerprint attempt) { return !this->records.contains(attempt); });
	}

	void stream_origins::drop_oldest()
	{
		// Drops several at once, so that a full table is not searched at each new record.
		constexpr std::size_t kept_share_divisor = 8;
		std::vector<time_point> begun;
		std::ranges::transform(
			this->records, std::back_inserter(begun), [](auto const& item) { return item.second.stream.begun_at; });
		auto const dropped = begun.begin() + static_cast<std::ptrdiff_t>(begun.size() / kept_share_divisor);
		std::ranges::nth_element(begun, dropped);
		std::erase_if(this->records, [&](auto const& item) { return item.second.stream.begun_at < *dropped; });
	}

	std::vector<fleet_member> stream_origins::keepers(
		fingerprint attempt, std::vector<fleet_member> const& others) const
	{
		if (others.size() < max_small_fleet)
		{
			return others;
		}
		struct ranked_member
		{
			std::uint64_t rank = 0;
			fleet_member const* member = nullptr;
		};
		auto const key = std::to_string(attempt.count());
		std::vector<ranked_member> ranked;
		std::ranges::transform(others, std::back_inserter(ranked),
			[&](fleet_member const& each) { return ranked_member{this->rank(key, each.id.str()), &each}; });
		auto const last = ranked.begin() + keepers_of_large_fleet;
		std::ranges::partial_sort(ranked, last, std::ranges::greater{}, &ranked_member::rank);
		std::vector<fleet_member> chosen;
		std::transform(
			ranked.begin(), last, std::back_inserter(chosen), [](ranked_member const& each) { return *each.member; });
		return chosen;
	}

	void stream_origins::note_fleet(std::vector<fleet_member> const& others)
	{
		std::set<recipient> now_live;
		std::ranges::transform(others, std::inserter(now_live, now_live.end()),
			[](fleet_member const& each) { return recipient(each.id, each.started); });
		if (now_live != this->fleet_members)
		{
			this->fleet_members = std::move(now_live);
			++this->fleet_number;
		}
	}

	std::vector<untold_stream> stream_origins::take_untold(
		std::vector<fleet_member> const& others, std::set<service_id> const& services)
	{
		if (services.empty() && this->unversioned.empty())
		{
			return {};
		}
		this->note_fleet(others);
		std::vector<untold_stream> untold;
		for (auto& [attempt, known] : this->records)
		{
			auto const is_own = known.stream.learnt_from == this->own_id;
			auto const is_due = !known.stream.is_version_known || services.contains(known.stream.origin.service);
			if (!is_own || known.told_for_fleet == this->fleet_number || !is_due)
			{
				continue;
			}
			known.told_for_fleet = this->fleet_number;
			untold_stream item{attempt, known.stream, this->keepers(attempt, others)};
			std::erase_if(item.recipients,
				[&](fleet_member const& each) { return !known.told.emplace(each.id, each.started).second; });
			if (!item.recipients.empty())
			{
				untold.push_back(std::move(item));
			}
		}
		return untold;
	}
}
