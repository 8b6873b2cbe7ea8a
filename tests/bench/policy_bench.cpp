#include <algorithm>
#include <array>
#include <atomic>
#include <cmath>
#include <fstream>
#include <iostream>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include "routers.hpp"

namespace
{
	using namespace godwittrestle;
	using namespace godwittrestle::bench;
	namespace options = boost::program_options;

	constexpr duration run_length = seconds(60);
	constexpr duration drain_length = seconds(60);
	// Requests that arrive earlier meet engines that are not loaded yet, so they are not counted.
	constexpr duration warm_up = seconds(15);
	constexpr duration first_token_target = milliseconds(520);
	constexpr duration token_gap_target = milliseconds(56);

	// Statistics of one run. Shares are between 0 and 1, times in milliseconds.
	struct figures
	{
		// Share of the offered requests that were answered in full and within both targets.
		double goodput = 0;
		// Share of the admitted requests within each target.
		double first_token_share = 0;
		double token_gap_share = 0;
		// Share of the computed prefill tokens that were wasted.
		double waste = 0;
		// Share of the computed prefill tokens that another engine had in its cache.
		double recomputed = 0;
		double refused = 0;
		double failed = 0;
		double first_p50 = 0;
		double first_p95 = 0;
		double first_p99 = 0;
		double gap_p50 = 0;
		double gap_p95 = 0;
		double gap_p99 = 0;
		// 99th percentile of the time from arrival to refusal.
		double refusal_p99 = 0;
	};

	double percentile(std::vector<duration> values, double share)
	{
		if (values.empty())
		{
			return 0;
		}
		auto const position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
		std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(position));
		return to_milliseconds(values[position]);
	}

	double share_of(std::size_t part, std::size_t whole)
	{
		return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
	}

	figures summarise(std::vector<outcome> const& outcomes, engine_totals const& totals)
	{
		figures sum;
		std::vector<duration> first;
		std::vector<duration> gaps;
		std::vector<duration> refusals;
		std::size_t offered = 0;
		std::size_t good = 0;
		std::size_t admitted = 0;
		std::size_t first_in_time = 0;
		std::size_t gaps_in_time = 0;
		std::size_t failed = 0;
		for (auto const& each : outcomes)
		{
			if (each.asked.at < time_point(warm_up) || each.is_cancelled)
			{
				continue;
			}
			++offered;
			if (each.is_refused)
			{
				refusals.push_back(each.refused_after);
				continue;
			}
			++admitted;
			failed += each.is_whole ? 0 : 1;
			auto const took = each.first_token.value_or(time_point::max()) - each.asked.at;
			auto const mean_gap = each.gaps.empty() ? duration{}
													: (each.last_token - *each.first_token) /
														  static_cast<duration::rep>(each.gaps.size());
			auto const is_first_in_time = each.first_token && took <= first_token_target;
			auto const is_gap_in_time = each.first_token && mean_gap <= token_gap_target;
			first_in_time += is_first_in_time ? 1 : 0;
			gaps_in_time += is_gap_in_time ? 1 : 0;
			good += each.is_whole && is_first_in_time && is_gap_in_time ? 1 : 0;
			if (each.first_token)
			{
				first.push_back(took);
				gaps.push_back(mean_gap);
			}
		}
		sum.goodput = share_of(good, offered);
		sum.first_token_share = share_of(first_in_time, admitted);
		sum.token_gap_share = share_of(gaps_in_time, admitted);
		sum.waste = share_of(totals.wasted_tokens, totals.computed_tokens);
		sum.recomputed = share_of(totals.recomputed_tokens, totals.computed_tokens);
		sum.refused = share_of(refusals.size(), offered);
		sum.failed = share_of(failed, offered);
		sum.first_p50 = percentile(first, 0.5);
		sum.first_p95 = percentile(first, 0.95);
		sum.first_p99 = percentile(first, 0.99);
		sum.gap_p50 = percentile(gaps, 0.5);
		sum.gap_p95 = percentile(gaps, 0.95);
		sum.gap_p99 = percentile(gaps, 0.99);
		sum.refusal_p99 = percentile(refusals, 0.99);
		return sum;
	}

	void disturb(event_queue& events, engine_set& engines, disturbance trouble)
	{
		constexpr double half_speed = 2;
		auto const strike = [&engines, trouble]
		{
			switch (trouble)
			{
				case disturbance::decode_lost:
					engines.decode.front()->kill();
					break;
				case disturbance::prefill_lost:
					engines.prefill.front()->kill();
					break;
				case disturbance::decode_slow:
					engines.decode.front()->slow_down(half_speed);
					break;
				case disturbance::prefill_slow:
					engines.prefill.front()->slow_down(half_speed);
					break;
				default:
					break;
			}
		};
		events.at(run_length / 2, strike);
	}

	using router_maker =
		std::function<std::unique_ptr<router>(event_queue&, engine_set&, user_shape const&, std::uint64_t)>;

	struct contender
	{
		std::string name;
		router_maker make;
	};

	figures run(user_shape const& user, workload const& load, contender const& chosen, std::uint64_t seed)
	{
		engine_shape shape;
		shape.link_bytes_per_us = user.link_bytes_per_us;
		event_queue events;
		engine_set engines;
		for (auto index = 0; index < user.prefill_engines; ++index)
		{
			engines.prefill.push_back(std::make_unique<prefill_model>(events, shape, engines.totals));
		}
		for (auto index = 0; index < user.decode_engines; ++index)
		{
			engines.decode.push_back(std::make_unique<decode_model>(events, shape));
		}
		auto const decider = chosen.make(events, engines, user, seed);
		std::vector<outcome> outcomes;
		for (auto& each : make_arrivals(user, load, shape, run_length, seed))
		{
			outcomes.emplace_back().asked = std::move(each);
		}
		for (std::size_t index = 0; index < outcomes.size(); ++index)
		{
			auto& target = outcomes[index];
			events.at(target.asked.at - events.now(), [&, index] { decider->begin(index, outcomes[index]); });
			if (target.asked.hangs_up_after > duration{})
			{
				events.at(target.asked.at - events.now() + target.asked.hangs_up_after,
					[&, index]
					{
						outcomes[index].is_cancelled = !outcomes[index].is_whole;
						decider->hang_up(index);
					});
			}
		}
		disturb(events, engines, load.trouble);
		events.run_until(time_point(run_length + drain_length));
		return summarise(outcomes, engines.totals);
	}

	std::vector<contender> all_contenders()
	{
		auto const core = [](core_options chosen)
		{
			return [chosen](event_queue& events, engine_set& engines, user_shape const& user, std::uint64_t seed)
			{
				return make_core_router(events, engines, user, chosen, seed);
			};
		};
		auto const base = [](baseline kind)
		{
			return [kind](event_queue& events, engine_set& engines, user_shape const&, std::uint64_t seed)
			{
				return make_baseline_router(events, engines, kind, seed);
			};
		};
		using decide::slot_rule;
		return {{"godwittrestle", core({})},
			{"for goodput", core({slot_rule::with_reservation, true, true, policy::GOODPUT})},
			{"for less waste", core({slot_rule::with_reservation, true, true, policy::WASTE})},
			{"no reservation", core({slot_rule::without_reservation, true, true})},
			{"no prefixes", core({slot_rule::with_reservation, false, true})},
			{"late refusal", core({slot_rule::with_reservation, true, false})},
			{"round robin", base(baseline::round_robin)}, {"least load", base(baseline::least_reported_load)},
			{"two choices", base(baseline::two_choices)}};
	}

	// One row of the table: a user, a workload and a router, with one run per seed.
	struct table_row
	{
		user_shape user;
		workload load;
		contender chosen;
		std::vector<figures> runs;

		[[nodiscard]] double mean(double figures::* figure) const
		{
			auto const add = [figure](double sum, figures const& each)
			{
				return sum + each.*figure;
			};
			return std::accumulate(this->runs.begin(), this->runs.end(), 0.0, add) /
				   static_cast<double>(this->runs.size());
		}

		[[nodiscard]] std::pair<double, double> range(double figures::* figure) const
		{
			auto const [least, most] = std::ranges::minmax_element(
				this->runs, std::less{}, [figure](figures const& each) { return each.*figure; });
			return {*least.*figure, *most.*figure};
		}
	};

	void run_all(std::vector<table_row>& rows, unsigned threads)
	{
		std::atomic<std::size_t> next = 0;
		auto const work = [&]
		{
			for (auto task = next++; task < rows.size() * rows.front().runs.size(); task = next++)
			{
				auto const seeds = rows.front().runs.size();
				auto& row = rows[task / seeds];
				row.runs[task % seeds] = run(row.user, row.load, row.chosen, 1 + task % seeds);
			}
		};
		std::vector<std::jthread> workers;
		std::generate_n(std::back_inserter(workers), threads, [&] { return std::jthread(work); });
	}

	void print(std::vector<table_row> const& rows, std::ostream& out)
	{
		out << "user     workload         router          goodput% (min-max)   waste%  again%  refused% failed%  "
			   "first p50/p95/p99 ms   gap p50/p95/p99 ms    in time: first% gap%  refusal p99 ms\n";
		for (auto const& row : rows)
		{
			auto const [least, most] = row.range(&figures::goodput);
			out << fmt::format("{:<8} {:<16} {:<15} {:6.2f} ({:6.2f}-{:6.2f}) {:7.2f} {:7.2f} {:8.2f} {:7.2f}  "
							   "{:6.0f}/{:6.0f}/{:6.0f}  {:6.1f}/{:6.1f}/{:6.1f}      {:6.2f} {:6.2f} {:10.0f}\n",
				row.user.name, row.load.name, row.chosen.name, 100 * row.mean(&figures::goodput), 100 * least,
				100 * most, 100 * row.mean(&figures::waste), 100 * row.mean(&figures::recomputed),
				100 * row.mean(&figures::refused), 100 * row.mean(&figures::failed), row.mean(&figures::first_p50),
				row.mean(&figures::first_p95), row.mean(&figures::first_p99), row.mean(&figures::gap_p50),
				row.mean(&figures::gap_p95), row.mean(&figures::gap_p99), 100 * row.mean(&figures::first_token_share),
				100 * row.mean(&figures::token_gap_share), row.mean(&figures::refusal_p99));
		}
	}

	void write_csv(std::vector<table_row> const& rows, std::string const& path)
	{
		std::ofstream out(path);
		out << "user,workload,load,router,goodput,goodput_min,goodput_max,waste,recomputed,refused,first_p95_ms,gap_"
			   "p95_ms\n";
		for (auto const& row : rows)
		{
			auto const [least, most] = row.range(&figures::goodput);
			out << fmt::format("{},{},{},{},{:.4f},{:.4f},{:.4f},{:.4f},{:.4f},{:.4f},{:.1f},{:.1f}\n", row.user.name,
				row.load.name, row.load.load, row.chosen.name, row.mean(&figures::goodput), least, most,
				row.mean(&figures::waste), row.mean(&figures::recomputed), row.mean(&figures::refused),
				row.mean(&figures::first_p95), row.mean(&figures::gap_p95));
		}
	}

	// Returns the row of a user, workload and router, or nullptr if it was not run.
	table_row const* find_row(
		std::vector<table_row> const& rows, std::string const& user, std::string const& load, std::string const& router)
	{
		auto const found = std::ranges::find_if(rows, [&](table_row const& row)
			{ return row.user.name == user && row.load.name == load && row.chosen.name == router; });
		return found == rows.end() ? nullptr : &*found;
	}

	// Prints for each bound that follows from the targets whether the mean over the seeds meets it. All rows must have been
	// run.
	void print_bounds(std::vector<table_row> const& rows, std::ostream& out)
	{
		constexpr double share_in_time = 0.95;
		constexpr double most_waste_at_90 = 0.01;
		constexpr double most_waste = 0.03;
		auto const say = [&](std::string const& what, double seen, bool is_met)
		{
			out << fmt::format("{:<8} {:<58} {:7.2f}%\n", is_met ? "met" : "NOT MET", what, 100 * seen);
		};
		auto const own = std::string("godwittrestle");
		for (auto const& user : {malinis(), cascade()})
		{
			auto const* const at_90 = find_row(rows, user.name, "steady 90%", own);
			auto const* const at_100 = find_row(rows, user.name, "steady 100%", own);
			auto const* const at_120 = find_row(rows, user.name, "steady 120%", own);
			auto const first = at_90->mean(&figures::first_token_share);
			say(user.name + ": first token in time at 90%, 95 in 100 of the admitted", first, first >= share_in_time);
			auto const gap = at_90->mean(&figures::token_gap_share);
			say(user.name + ": tokens in time at 90%, 95 in 100 of the admitted", gap, gap >= share_in_time);
			auto const waste = at_90->mean(&figures::waste);
			say(user.name + ": waste below 1% at 90%", waste, waste < most_waste_at_90);
			for (auto const* const name : {"steady 120%", "decode lost", "prefill lost", "decode slow", "prefill slow"})
			{
				auto const seen = find_row(rows, user.name, name, own)->mean(&figures::waste);
				say(fmt::format("{}: waste below 3%, {}", user.name, name), seen, seen < most_waste);
			}
			auto const served_100 = at_100->mean(&figures::goodput) * at_100->load.load;
			auto const served_120 = at_120->mean(&figures::goodput) * at_120->load.load;
			say(user.name + ": goodput at 120% no lower than at 100%, of capacity", served_120,
				served_120 >= served_100);
			for (auto const& load : all_workloads())
			{
				auto const ours = find_row(rows, user.name, load.name, own)->mean(&figures::goodput);
				auto best = 0.0;
				for (auto const* const name : {"round robin", "least load", "two choices"})
				{
					best = std::max(best, find_row(rows, user.name, load.name, name)->mean(&figures::goodput));
				}
				say(fmt::format("{}: goodput above the best baseline by, {}", user.name, load.name), ours - best,
					ours > best);
			}
		}
	}

	bool matches(std::string const& wanted, std::string const& name)
	{
		return wanted.empty() || name.find(wanted) != std::string::npos;
	}

	int main_with(options::variables_map const& given)
	{
		std::vector<table_row> rows;
		for (auto const& user : {malinis(), cascade()})
		{
			for (auto const& load : all_workloads())
			{
				for (auto const& chosen : all_contenders())
				{
					if (matches(given["user"].as<std::string>(), user.name) &&
						matches(given["workload"].as<std::string>(), load.name) &&
						matches(given["router"].as<std::string>(), chosen.name))
					{
						rows.push_back({user, load, chosen, std::vector<figures>(given["seeds"].as<std::size_t>())});
					}
				}
			}
		}
		if (rows.empty())
		{
			std::cerr << "no run matches --user, --workload and --router; leave one of them out\n";
			return 2;
		}
		run_all(rows, given["threads"].as<unsigned>());
		print(rows, std::cout);
		if (rows.size() == 2 * all_workloads().size() * all_contenders().size())
		{
			print_bounds(rows, std::cout);
		}
		if (auto const path = given["csv"].as<std::string>(); !path.empty())
		{
			write_csv(rows, path);
		}
		return 0;
	}
}

int main(int count, char const* const* arguments)
{
	options::options_description known(
		"Policy bench: runs the real decision core and baseline routers on modelled engines in virtual time");
	auto add = known.add_options();
	add("help", "print this help");
	add("user", options::value<std::string>()->default_value(""), "only users whose name contains this text");
	add("workload", options::value<std::string>()->default_value(""), "only workloads whose name contains this text");
	add("router", options::value<std::string>()->default_value(""), "only routers whose name contains this text");
	add("seeds", options::value<std::size_t>()->default_value(5), "number of seeds N; runs use the seeds 1 to N");
	add("threads", options::value<unsigned>()->default_value(8), "number of runs at the same time");
	add("csv", options::value<std::string>()->default_value(""), "also write the results to this CSV file");
	try
	{
		options::variables_map given;
		options::store(options::parse_command_line(count, arguments, known), given);
		options::notify(given);
		if (given.contains("help"))
		{
			std::cout << known;
			return 0;
		}
		return main_with(given);
	}
	catch (std::exception const& error)
	{
		std::cerr << error.what() << '\n';
		return 2;
	}
}
