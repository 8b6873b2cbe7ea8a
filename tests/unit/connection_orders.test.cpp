#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "connection_support.hpp"

using namespace godwittrestle;
using namespace godwittrestle::routing;
using namespace godwittrestle::testing;

// All orders of the events of a small world: one server whose process is replaced up to two times, two connections to
// it, and a stream that is taken up over the second connection.
namespace
{
	// What can happen, each once in an order.
	enum class event : std::uint8_t
	{
		// The present process ends, and the next one listens at once.
		replaced,
		replaced_again,
		// The entry of the second process is read. That of the third comes too late for all orders here.
		entry_read,
		first_connected,
		// The process at the first connection is asked and answers.
		first_stated,
		first_end_seen,
		second_connected,
		// The question, which a process that lives answers at once, and the arrival of its answer.
		second_asked,
		second_answered,
		second_end_seen,
		// The caller asks for the rest of its stream.
		taken_up,
		// The router decides about sending the stream over the second connection.
		sent,
		// The process that holds the second connection makes events, if it still lives.
		events_made,
	};

	constexpr std::array all_events{event::replaced, event::replaced_again, event::entry_read, event::first_connected,
		event::first_stated, event::first_end_seen, event::second_connected, event::second_asked,
		event::second_answered, event::second_end_seen, event::taken_up, event::sent, event::events_made};

	// Which of the processes state their start when they are asked.
	enum class stating : std::uint8_t
	{
		all,
		first_only,
		none,
	};

	constexpr std::array all_stating{stating::all, stating::first_only, stating::none};

	// What the router can't see from the start.
	struct hidden_facts
	{
		std::array<software_version, 3> versions;
		stating who_states = stating::all;

		[[nodiscard]] software_version const& version_of(int process) const
		{
			return this->versions.at(static_cast<std::size_t>(process - 1));
		}

		[[nodiscard]] bool does_state(int process) const
		{
			return this->who_states == stating::all || (this->who_states == stating::first_only && process == 1);
		}
	};

	// What is known of the service from the start.
	struct known_facts
	{
		software_version origin;
		// Whether another server of the service is of the new version.
		bool has_other_version = false;
		// Whether orders look alike only if the router sees the same events in the same order. Otherwise it is enough
		// that it keeps the same.
		bool is_order_seen = false;
	};

	// What the router keeps. Processes are numbered by their starts; 0 stands for none.
	struct router_view
	{
		int entry = 1;
		software_version entry_version = old_version;
		int first_stated = 0;
		int second_stated = 0;
		bool has_second_answered = false;
		// Whether a connection was seen to end since the entry's process has last confirmed its start.
		bool has_end_sign = false;
		// Whether the entry's process has stated its start on any connection, asked after the last sign.
		bool is_confirmed = false;
		// The events that the router has seen, where their order counts; see known_facts.
		std::string seen;

		[[nodiscard]] auto operator<=>(router_view const&) const = default;
	};

	// A connection as it is, and what the router has seen of it.
	struct world_connection
	{
		// 0 before the connection is opened.
		int holder = 0;
		bool is_end_seen = false;
	};

	struct world
	{
		int process = 1;
		router_view view;
		world_connection first;
		world_connection second;
		// The second process is asked after the last sign of an end.
		bool is_asked_since_sign = false;
		bool is_answer_under_way = false;
		std::uint32_t happened = 0;

		[[nodiscard]] bool has(event each) const
		{
			return (this->happened & bit(each)) != 0;
		}

		void note(event each)
		{
			this->happened |= bit(each);
		}

		[[nodiscard]] static std::uint32_t bit(event each)
		{
			return 1U << static_cast<unsigned>(each);
		}
	};

	// What orders have shown that look alike to the router.
	struct alike_orders
	{
		bool is_sent = false;
		int orders = 0;
		// Orders in which sending brings the caller an event of another version.
		int mixed = 0;
		// Orders in which sending brings the caller events of its version.
		int right = 0;
	};

	using groups = std::map<router_view, alike_orders>;
	using send_rule = std::function<bool(router_view const& view, known_facts const& known)>;

	// Returns whether an event can happen next.
	[[nodiscard]] bool can_happen(world const& now, event next)
	{
		if (now.has(next) || now.has(event::events_made))
		{
			return false;
		}
		// What the router sees after it has decided makes no difference.
		if (now.has(event::sent))
		{
			return next == event::events_made || next == event::replaced || next == event::replaced_again;
		}
		auto const can_end_be_seen = [&now](world_connection const& each)
		{
			return each.holder != 0 && each.holder < now.process;
		};
		switch (next)
		{
			case event::replaced:
			case event::first_connected:
			case event::second_connected:
			case event::taken_up:
				return true;
			case event::replaced_again:
			case event::entry_read:
				return now.has(event::replaced);
			case event::first_stated:
				return now.first.holder == now.process;
			case event::first_end_seen:
				return can_end_be_seen(now.first);
			case event::second_asked:
				return now.second.holder != 0 && !now.second.is_end_seen;
			case event::second_answered:
				return now.is_answer_under_way && !now.second.is_end_seen;
			case event::second_end_seen:
				return can_end_be_seen(now.second);
			case event::sent:
				return now.has(event::taken_up) && now.second.holder != 0 && !now.second.is_end_seen;
			case event::events_made:
				return false;
		}
		return false;
	}

	// Applies what a process has stated.
	void apply_statement(router_view& view, int stated, bool is_asked_since_sign)
	{
		if (stated == view.entry && is_asked_since_sign)
		{
			view.has_end_sign = false;
			view.is_confirmed = true;
		}
	}

	void apply_end_sign(world& now, world_connection& ended)
	{
		ended.is_end_seen = true;
		now.view.has_end_sign = true;
		now.view.is_confirmed = false;
		now.is_asked_since_sign = false;
	}

	// Changes the world as an event does.
	void apply(world& now, event next, hidden_facts const& hidden)
	{
		auto& view = now.view;
		now.note(next);
		switch (next)
		{
			case event::replaced:
			case event::replaced_again:
				++now.process;
				break;
			case event::entry_read:
				view.entry = 2;
				view.entry_version = hidden.version_of(2);
				view.has_end_sign = false;
				view.is_confirmed = false;
				break;
			case event::first_connected:
				now.first.holder = now.process;
				break;
			case event::first_stated:
				view.first_stated = hidden.does_state(now.first.holder) ? now.first.holder : 0;
				apply_statement(view, view.first_stated, true);
				break;
			case event::first_end_seen:
				apply_end_sign(now, now.first);
				break;
			case event::second_connected:
				now.second.holder = now.process;
				break;
			case event::second_asked:
				now.is_answer_under_way = now.second.holder == now.process;
				now.is_asked_since_sign = true;
				break;
			case event::second_answered:
				view.has_second_answered = true;
				view.second_stated = hidden.does_state(now.second.holder) ? now.second.holder : 0;
				apply_statement(view, view.second_stated, now.is_asked_since_sign);
				break;
			case event::second_end_seen:
				apply_end_sign(now, now.second);
				break;
			case event::taken_up:
			case event::sent:
			case event::events_made:
				break;
		}
	}

	// Adds an event to those that the router has seen, with what it has shown. The router does not see when a process
	// is replaced.
	void note_seen(router_view& view, event next)
	{
		auto const is_statement = next == event::first_stated || next == event::second_answered;
		auto const stated = next == event::first_stated ? view.first_stated : view.second_stated;
		auto const shown = is_statement                ? std::to_string(stated)
						   : next == event::entry_read ? view.entry_version.str()
													   : std::string();
		view.seen += static_cast<char>('a' + static_cast<int>(next)) + shown;
	}

	[[nodiscard]] bool is_seen(event each)
	{
		return each != event::replaced && each != event::replaced_again && each < event::sent;
	}

	// Counts what the caller gets at the end of an order if the stream was sent.
	void count_outcome(world const& end, alike_orders& group, hidden_facts const& hidden, known_facts const& known)
	{
		auto const does_live = end.second.holder == end.process;
		auto const is_right = hidden.version_of(end.second.holder) == known.origin;
		++group.orders;
		group.mixed += does_live && !is_right ? 1 : 0;
		group.right += does_live && is_right ? 1 : 0;
	}

	// Goes through all orders that begin with what has happened.
	void enumerate(
		world const& now, hidden_facts const& hidden, known_facts const& known, send_rule const& rule, groups& found)
	{
		for (auto const next : all_events)
		{
			if (!can_happen(now, next))
			{
				continue;
			}
			auto after = now;
			apply(after, next, hidden);
			if (known.is_order_seen && is_seen(next))
			{
				note_seen(after.view, next);
			}
			if (next == event::events_made)
			{
				count_outcome(after, found.at(after.view), hidden, known);
				continue;
			}
			if (next == event::sent)
			{
				found[after.view].is_sent = rule(after.view, known);
			}
			enumerate(after, hidden, known, rule, found);
		}
	}

	// Goes through all orders, whatever the router can't see.
	[[nodiscard]] groups enumerate_all(known_facts const& known, send_rule const& rule)
	{
		groups found;
		for (auto const& second : {old_version, new_version})
		{
			for (auto const& third : {old_version, new_version})
			{
				for (auto const who_states : all_stating)
				{
					enumerate(world(), {{old_version, second, third}, who_states}, known, rule, found);
				}
			}
		}
		return found;
	}

	[[nodiscard]] registered_server const& entry_of(router_view const& view)
	{
		static auto const first = make_entry(1, old_version);
		static auto const second_same = make_entry(2, old_version);
		static auto const second_other = make_entry(2, new_version);
		auto const& second = view.entry_version == old_version ? second_same : second_other;
		return view.entry == 1 ? first : second;
	}

	[[nodiscard]] std::optional<incarnation> start_of(int process)
	{
		return process == 0 ? std::nullopt : std::optional(incarnation(static_cast<std::uint64_t>(process)));
	}

	[[nodiscard]] bool has_several_versions(router_view const& view, known_facts const& known)
	{
		auto const has_unlisted_process = std::max(view.first_stated, view.second_stated) > view.entry;
		return known.has_other_version || view.entry_version != old_version || has_unlisted_process;
	}

	// The rule of the router: the stream is sent over the connection on which the process has stated its start.
	[[nodiscard]] bool send_to_holder(router_view const& view, known_facts const& known)
	{
		auto const& entry = entry_of(view);
		auto const holder = compare_holder(entry, start_of(view.second_stated));
		return may_send_stream(entry, holder, {known.origin, has_several_versions(view, known), view.has_end_sign});
	}

	// The rule of before: the start counts on whichever connection it was stated, if it was asked after the last sign.
	[[nodiscard]] bool send_to_confirmed(router_view const& view, known_facts const& known)
	{
		return view.is_confirmed && view.entry_version == known.origin;
	}

	[[nodiscard]] bool has_mixed(groups::value_type const& each)
	{
		return each.second.is_sent && each.second.mixed > 0;
	}

	// Returns whether a refusal has no reason: sending brings the caller what it wants in some of the orders, and in
	// none of those that look alike an event of another version.
	[[nodiscard]] bool is_refused_needlessly(groups::value_type const& each)
	{
		return !each.second.is_sent && each.second.mixed == 0 && each.second.right > 0;
	}

	[[nodiscard]] std::string describe(router_view const& view)
	{
		return fmt::format("entry {} {}, first stated {}, second stated {}, answered {}, sign {}, confirmed {}",
			view.entry, view.entry_version.str(), view.first_stated, view.second_stated, view.has_second_answered,
			view.has_end_sign, view.is_confirmed);
	}

	// Requires that no group of orders is of a kind.
	void require_none(groups const& found, std::function<bool(groups::value_type const&)> const& is_of_kind)
	{
		auto const each = std::ranges::find_if(found, is_of_kind);
		INFO(fmt::format("the router sees: {}", each == found.end() ? "" : describe(each->first)));
		REQUIRE(each == found.end());
	}
}

TEST_CASE("no order of events brings a caller two versions while several are in service", "[connection_holder]")
{
	for (auto const& origin : {old_version, new_version})
	{
		CAPTURE(origin.str());
		auto const found = enumerate_all({origin, true}, send_to_holder);
		require_none(found, has_mixed);
		require_none(found, is_refused_needlessly);
		REQUIRE(
			std::ranges::any_of(found, [](auto const& each) { return each.second.is_sent && each.second.right > 0; }));
	}
}

TEST_CASE("no order of events brings a caller two versions where the start is stated or an end was seen",
	"[connection_holder]")
{
	auto const found = enumerate_all({old_version, false}, send_to_holder);
	// What remains is the unstated start while nothing speaks against the listed process; see the last test.
	auto const has_mixed_despite_evidence = [](groups::value_type const& each)
	{
		return has_mixed(each) && (each.first.second_stated != 0 || each.first.has_end_sign);
	};
	require_none(found, has_mixed_despite_evidence);
	require_none(found, is_refused_needlessly);
}

// Even where the order of events is taken into account, a refusal is needless only before the process on the connection
// has answered the question for its start: another connection may have shown which process it is.
TEST_CASE("no stream is refused needlessly in any order once the question is answered", "[connection_holder]")
{
	auto const is_refused_after_answer = [](groups::value_type const& each)
	{
		return is_refused_needlessly(each) && each.first.has_second_answered;
	};
	for (auto const& origin : {old_version, new_version})
	{
		CAPTURE(origin.str());
		constexpr auto has_other_version = true;
		constexpr auto is_order_seen = true;
		auto const found = enumerate_all({origin, has_other_version, is_order_seen}, send_to_holder);
		require_none(found, has_mixed);
		require_none(found, is_refused_after_answer);
	}
}

// A stream that has begun is known by the version of the process that holds its connection, whenever the entry of
// that process is read, and by none before.
TEST_CASE("a holder's version is that of its own entry in every order of reading", "[connection_holder]")
{
	auto const entries = {make_entry(1, old_version), make_entry(2, new_version), make_entry(3, old_version)};
	for (std::uint64_t holder = 1; holder <= entries.size(); ++holder)
	{
		directory known;
		std::uint64_t newest = 0;
		for (auto const& entry : entries)
		{
			known.put(entry);
			++newest;
			auto const version = known.version_of({entry.id, incarnation(holder)});
			auto const& own = std::next(entries.begin(), static_cast<std::ptrdiff_t>(holder - 1))->version;
			REQUIRE(version == (holder <= newest ? std::optional(own) : std::nullopt));
		}
	}
}

// The enumeration must find the fault that the rule of before had: another process answered than the stream was sent
// to.
TEST_CASE("a start that was stated on another connection lets versions mix in some order", "[connection_holder]")
{
	auto const found = enumerate_all({old_version, true}, send_to_confirmed);
	REQUIRE(std::ranges::any_of(found, has_mixed));
	auto const is_stated_elsewhere = [](groups::value_type const& each)
	{
		return !has_mixed(each) || each.first.first_stated == each.first.entry;
	};
	REQUIRE(std::ranges::all_of(found, is_stated_elsewhere));
}

// Known not to hold; see KNOWN-RED.txt. The first server of a new version, whose process states no start, gets streams
// of the old version while no entry and no end has told of it.
TEST_CASE("no order of events brings a caller two versions while one version is known", "[.first_of_upgrade]")
{
	auto const found = enumerate_all({old_version, false}, send_to_holder);
	require_none(found, has_mixed);
}
