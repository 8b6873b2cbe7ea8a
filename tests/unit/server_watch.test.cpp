#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include <godwittrestle/routing/server_watch.hpp>

using namespace godwittrestle;
using namespace godwittrestle::routing;

namespace
{
	constexpr incarnation first_process(1);
	constexpr incarnation second_process(2);
	constexpr server_watch_settings terms{};

	constexpr time_point at(duration since_start)
	{
		return time_point() + seconds(100) + since_start;
	}

	// An entry that was read at a time, and of which it is not known when it was written.
	constexpr entry_times read_at(duration since_start)
	{
		return {at(since_start), time_point(), at(since_start)};
	}

	// A watch whose process is known to have written the entry that was read at 0 s; last asked at 5 s.
	server_watch make_known()
	{
		server_watch watch(terms);
		watch.note_opened(first_process, at(seconds(1)));
		watch.note_answer(at(seconds(5)), read_at(seconds(0)), at(seconds(5)));
		REQUIRE(watch.has_written(at(seconds(0))));
		return watch;
	}
}

TEST_CASE("an answer alone does not show who has written the entry", "[server_watch]")
{
	server_watch watch(terms);
	watch.note_opened(first_process, at(seconds(1)));
	REQUIRE_FALSE(watch.holder());
	watch.note_answer(at(seconds(2)), read_at(seconds(0)), at(seconds(2)));
	REQUIRE(watch.holder() == first_process);
	REQUIRE_FALSE(watch.has_written(at(seconds(0))));
}

TEST_CASE("an entry that stands for its lifetime is that of the process that lives", "[server_watch]")
{
	server_watch watch(terms);
	watch.note_opened(first_process, at(seconds(1)));
	auto const end = seconds(1) + terms.entry_lifetime;
	watch.note_answer(at(end), read_at(seconds(0)), at(end - milliseconds(1)));
	REQUIRE_FALSE(watch.has_written(at(seconds(0))));
	watch.note_answer(at(end), read_at(seconds(0)), at(end));
	REQUIRE(watch.has_written(at(seconds(0))));
}

TEST_CASE("an entry that is written while the process lives is its own", "[server_watch]")
{
	server_watch watch(terms);
	watch.note_opened(first_process, at(seconds(1)));
	auto entry = read_at(seconds(0));
	entry.read_at = at(seconds(3));
	// What an earlier process has sent may still be on its way.
	entry.written_after = at(seconds(1) + terms.longest_write - milliseconds(1));
	watch.note_answer(at(seconds(3)), entry, at(seconds(3)));
	REQUIRE_FALSE(watch.has_written(entry.changed_at));
	entry.written_after = at(seconds(1) + terms.longest_write);
	// The process is not known to have lived when the entry was written.
	watch.note_answer(at(milliseconds(2999)), entry, at(seconds(3)));
	REQUIRE_FALSE(watch.has_written(entry.changed_at));
	watch.note_answer(at(seconds(3)), entry, at(seconds(3)));
	REQUIRE(watch.has_written(entry.changed_at));
}

TEST_CASE("the entry after that of a known process is its successor's", "[server_watch]")
{
	auto watch = make_known();
	watch.note_ended();
	REQUIRE_FALSE(watch.holder());
	watch.note_opened(second_process, at(seconds(6)));
	watch.note_answer(at(milliseconds(6100)), read_at(seconds(0)), at(milliseconds(6100)));
	REQUIRE_FALSE(watch.has_written(at(seconds(0))));
	watch.note_answer(at(milliseconds(6400)), read_at(milliseconds(6300)), at(milliseconds(6400)));
	REQUIRE(watch.holder() == second_process);
	REQUIRE(watch.has_written(at(milliseconds(6300))));
}

TEST_CASE("after a longer gap several processes may have followed", "[server_watch]")
{
	auto watch = make_known();
	watch.note_ended();
	watch.note_opened(second_process, at(seconds(5) + terms.shortest_life + milliseconds(1)));
	watch.note_answer(at(seconds(7)), read_at(milliseconds(6500)), at(seconds(7)));
	REQUIRE_FALSE(watch.has_written(at(milliseconds(6500))));
}

TEST_CASE("an entry of a copy of the registry is not taken for a successor's", "[server_watch]")
{
	auto watch = make_known();
	watch.note_ended();
	watch.note_opened(second_process, at(milliseconds(5100)));
	watch.note_answer(at(milliseconds(6400)), read_at(milliseconds(6300)), time_point());
	REQUIRE(watch.holder() == second_process);
	REQUIRE_FALSE(watch.has_written(at(milliseconds(6300))));
}

TEST_CASE("the successor of a process that is not known is not known either", "[server_watch]")
{
	server_watch watch(terms);
	watch.note_opened(first_process, at(seconds(1)));
	watch.note_answer(at(seconds(2)), read_at(seconds(0)), at(seconds(2)));
	watch.note_ended();
	watch.note_opened(second_process, at(milliseconds(2100)));
	watch.note_answer(at(seconds(3)), read_at(milliseconds(2500)), at(seconds(3)));
	REQUIRE_FALSE(watch.has_written(at(milliseconds(2500))));
}

TEST_CASE("an answer to a question of before the connection does not count", "[server_watch]")
{
	server_watch watch(terms);
	watch.note_opened(first_process, at(seconds(1)));
	watch.note_answer(at(milliseconds(999)), read_at(seconds(0)), at(seconds(9)));
	REQUIRE_FALSE(watch.holder());
}

// Random lives of one server, as far as what is taken for granted allows: its processes have one of two versions, end
// and are back at once or after a while, write their entry late, again and again or only once, and the registry and the
// watch see all that late.
namespace
{
	struct process_life
	{
		time_point start;
		time_point end;
		int version = 0;
		std::vector<time_point> writings;
	};

	struct random_life
	{
		explicit random_life(std::uint64_t seed)
			: random(seed)
		{
			auto const has_heartbeats = this->draw(0, 2) > 0;
			auto start = at(seconds(0));
			constexpr int processes = 6;
			for (int number = 0; number < processes; ++number)
			{
				process_life life{start, start + milliseconds(this->draw(1001, 9000)), this->draw(0, 1), {}};
				auto const longest_delay = terms.entry_lifetime - milliseconds(1);
				auto written = start + milliseconds(this->draw(0, static_cast<int>(to_milliseconds(longest_delay))));
				while (written < life.end)
				{
					life.writings.push_back(written);
					written = has_heartbeats ? written + milliseconds(1200) : life.end;
				}
				start = life.end + milliseconds(this->draw(0, 2) > 0 ? 0 : this->draw(0, 3000));
				this->lives.push_back(life);
			}
		}

		int draw(int least, int most)
		{
			return std::uniform_int_distribution<int>(least, most)(this->random);
		}

		// Returns the number of the process that lives at a time; nothing when none does.
		[[nodiscard]] std::optional<std::size_t> process_at(time_point when) const
		{
			auto const found = std::ranges::find_if(
				this->lives, [when](process_life const& each) { return each.start <= when && when < each.end; });
			return found == this->lives.end() ? std::nullopt
											  : std::optional(static_cast<std::size_t>(found - this->lives.begin()));
		}

		std::mt19937_64 random;
		std::vector<process_life> lives;
	};

	// The entry as the daemon has read it.
	struct read_entry
	{
		std::optional<std::size_t> writer;
		entry_times times;
	};

	// What a random life has shown.
	struct life_counts
	{
		int answers = 0;
		int known = 0;
		int wrong = 0;
	};

	// Reads all writings up to a time, as a registry that tells each one does. written_after: a bound of their times.
	void read_registry(random_life const& life, read_entry& entry, time_point from, time_point until, time_point now)
	{
		for (std::size_t number = 0; number < life.lives.size(); ++number)
		{
			auto const& each = life.lives.at(number);
			for (auto const written : each.writings)
			{
				if (written <= from || written > until)
				{
					continue;
				}
				auto const is_other = !entry.writer || life.lives.at(*entry.writer).version != each.version;
				entry.times.changed_at = is_other ? now : entry.times.changed_at;
				entry.times.written_after = from;
				entry.times.read_at = now;
				entry.writer = number;
			}
		}
	}

	// Plays a life in steps. Counts the answers, and after how many it is known, rightly or wrongly, whose the entry
	// is.
	life_counts play_life(std::uint64_t seed)
	{
		random_life life(seed);
		life_counts counts;
		server_watch watch(terms);
		read_entry entry;
		std::optional<std::size_t> held_by;
		auto read_until = at(seconds(0)) - milliseconds(1);
		auto next_read = at(seconds(0));
		auto next_question = at(seconds(0));
		std::uint64_t opened = 0;
		auto const end = life.lives.back().end;
		for (auto now = at(seconds(0)); now < end; now += milliseconds(10))
		{
			auto const present = life.process_at(now);
			// The end of a connection is seen after some hundred milliseconds at the latest.
			if (held_by && held_by != present && life.draw(0, 9) == 0)
			{
				watch.note_ended();
				held_by.reset();
			}
			if (!held_by && present && life.draw(0, 4) == 0)
			{
				held_by = present;
				watch.note_opened(incarnation(++opened), now);
			}
			if (now >= next_read)
			{
				read_registry(life, entry, read_until, now, now);
				read_until = now;
				next_read = now + milliseconds(life.draw(10, 900));
			}
			if (now >= next_question && held_by && held_by == present && entry.writer)
			{
				watch.note_answer(now, entry.times, read_until);
				next_question = now + milliseconds(life.draw(10, 400));
				auto const is_known = watch.has_written(entry.times.changed_at);
				auto const is_right = life.lives.at(*entry.writer).version == life.lives.at(*held_by).version;
				++counts.answers;
				counts.known += is_known ? 1 : 0;
				counts.wrong += is_known && !is_right ? 1 : 0;
			}
		}
		return counts;
	}
}

// Guards against a process that passes for the writer of an entry of another version (ORDER), and against servers whose
// process is never known (LOST).
TEST_CASE("no random life takes a process for the writer of another version's entry", "[server_watch]")
{
	constexpr std::uint64_t lives = 2000;
	life_counts sum;
	for (std::uint64_t seed = 1; seed <= lives; ++seed)
	{
		CAPTURE(seed);
		auto const counts = play_life(seed);
		REQUIRE(counts.wrong == 0);
		sum.answers += counts.answers;
		sum.known += counts.known;
	}
	// Half of the time, as the users' pages want of streams that are taken up.
	REQUIRE(2 * sum.known >= sum.answers);
}
