#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/routing/fleet.hpp>
#include <godwittrestle/routing/server.hpp>

namespace godwittrestle::routing
{
	// The service and the software version whose server made the first event of a stream. The stream may go on only
	// there: what two versions write does not fit together, and servers do not check it.
	struct stream_origin
	{
		service_id service;
		software_version version;

		[[nodiscard]] auto operator<=>(stream_origin const&) const = default;
	};

	// What is known of a stream that has begun.
	struct known_stream
	{
		stream_origin origin;
		// Time of the first event.
		time_point begun_at;
		// The daemon that passed the first event on.
		instance_id learnt_from;
		// The process that made the first event; nothing when it states no start, or when only its version is known.
		std::optional<server_process> process = std::nullopt;
		// Whether the origin's version is known. A process may begin streams before its entry can be read; its version
		// is that of the entry.
		bool is_version_known = true;
		// Raised by the daemon that began the stream whenever it learns more of the origin.
		std::uint32_t revision = 0;
	};

	// A stream's record that has to be told to other daemons.
	struct untold_stream
	{
		fingerprint attempt;
		known_stream stream;
		std::vector<fleet_member> recipients;
	};

	// Remembers where streams began, by the fingerprint of the caller's attempt that brought the first event. A caller
	// may take a stream up at any daemon, also after the daemon that began it was killed, so each record is kept by a
	// few other daemons too, its keepers: all others of a small fleet, or those with the highest rendezvous hash of the
	// attempt. Only the daemon that began a stream tells its record.
	class stream_origins
	{
	  public:
		// Records kept at most. Each is about 200 bytes; the oldest ones give way.
		static constexpr std::size_t max_records = 16'384;
		// Daemons that keep each record besides the one that began the stream. A smaller fleet keeps all records.
		static constexpr std::size_t keepers_of_large_fleet = 3;
		static constexpr std::size_t max_small_fleet = 8;

		using rank_function = std::function<std::uint64_t(std::string_view key, std::string_view member)>;

		stream_origins() = default;
		stream_origins(instance_id own, rank_function ranking);

		// Records the first event of a stream. Of two different records of one attempt the one with the earlier first
		// event is kept, so that a caller can't change the record of another caller's stream by using its id. A stream
		// that this daemon has taken up counts as its own, since the daemon that began it may be gone.
		void note(fingerprint attempt, known_stream const& stream);

		// Records what this daemon has learnt of a stream that it began, in place of what it believed before. Keepers
		// are told again.
		void correct(fingerprint attempt, known_stream stream);

		// Returns the processes that began streams and whose version is not known.
		[[nodiscard]] std::set<server_process> unversioned_processes() const;

		// Sets the version of the streams that a process began. Keepers are told those of this daemon again, since they
		// may not have read the process's entry. Returns the number of streams.
		std::size_t set_version(server_process const& process, software_version const& version);

		// Returns what is known of a stream; null when nothing is.
		[[nodiscard]] known_stream const* find(fingerprint attempt) const;

		// Forgets the streams that began before a time.
		void expire(time_point before);

		// Returns the daemons that keep the record of an attempt. others: the other live daemons.
		[[nodiscard]] std::vector<fleet_member> keepers(
			fingerprint attempt, std::vector<fleet_member> const& others) const;

		// Returns the records of this daemon's streams that keepers have not been told yet, and records them as told.
		// services: those whose streams have to be told at present. A stream whose version is not known is told always:
		// other daemons could take it for one of the only version they know.
		[[nodiscard]] std::vector<untold_stream> take_untold(
			std::vector<fleet_member> const& others, std::set<service_id> const& services);

		[[nodiscard]] std::size_t size() const noexcept
		{
			return this->records.size();
		}

	  private:
		using recipient = std::pair<instance_id, incarnation>;

		struct record
		{
			known_stream stream;
			// The fleet for which the record was last told, and the daemons that were told.
			std::uint64_t told_for_fleet = 0;
			std::set<recipient> told;
		};

		void drop_oldest();
		// Stores a stream as one that no keeper has been told of.
		void replace(fingerprint attempt, known_stream stream);
		// Counts the changes of the fleet, so that keepers are only looked for again after a change.
		void note_fleet(std::vector<fleet_member> const& others);

		instance_id own_id;
		rank_function rank;
		std::map<fingerprint, record> records;
		// The records whose version is not known.
		std::set<fingerprint> unversioned;
		std::set<recipient> fleet_members;
		std::uint64_t fleet_number = 1;
	};
}
