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
	// Requests that arrive earlier are not counted in the statistics, because the engines are still empty then.
	constexpr duration warm_up = seconds(15);
	constexpr duration first_token_target = milliseconds(520);
	constexpr duration token_gap_target = milliseconds(56);

	// Statistics of one run. Shares are between 0 and 1, times in milliseconds.
	struct run_statistics
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

	run_statistics summarise(std::vector<outcome> const& outcomes, engine_totals const& totals)
	{
		run_statistics statistics;
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
			if (each.requested.at < time_point(warm_up) || each.is_cancelled)
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
			failed += each.is_complete ? 0 : 1;
			auto const took = each.first_token.value_or(time_point::max()) - each.requested.at;
			auto const mean_gap = each.gaps.empty() ? duration{}
													: (each.last_token - *each.first_token) /
														  static_cast<duration::rep>(each.gaps.size());
			auto const is_first_in_time = each.first_token && took <= first_token_target;
			auto const is_gap_in_time = each.first_token && mean_gap <= token_gap_target;
			first_in_time += is_first_in_time ? 1 : 0;
			gaps_in_time += is_gap_in_time ? 1 : 0;
			good += each.is_complete && is_first_in_time && is_gap_in_time ? 1 : 0;
			if (each.first_token)
			{
				first.push_back(took);
				gaps.push_back(mean_gap);
			}
		}
		statistics.goodput = share_of(good, offered);
		statistics.first_token_share = share_of(first_in_time, admitted);
		statistics.token_gap_share = share_of(gaps_in_time, admitted);
		statistics.waste = share_of(totals.wasted_tokens, totals.computed_tokens);
		statistics.recomputed = share_of(totals.recomputed_tokens, totals.computed_tokens);
		statistics.refused = share_of(refusals.size(), offered);
		statistics.failed = share_of(failed, offered);
		statistics.first_p50 = percentile(first, 0.5);
		statistics.first_p95 = percentile(first, 0.95);
		statistics.first_p99 = percentile(first, 0.99);
		statistics.gap_p50 = percentile(gaps, 0.5);
		statistics.gap_p95 = percentile(gaps, 0.95);
		statistics.gap_p99 = percentile(gaps, 0.99);
		statistics.refusal_p99 = percentile(refusals, 0.99);
		return statistics;
	}

	void schedule_disturbance(event_queue& events, engine_set& engines, disturbance disturbance_kind)
	{
		constexpr double half_speed = 2;
		auto const apply = [&engines, disturbance_kind]
		{
			switch (disturbance_kind)
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
		events.schedule_after(run_length / 2, apply);
	}

	using router_maker =
		std::function<std::unique_ptr<router>(event_queue&, engine_set&, user_profile const&, std::uint64_t)>;

	struct router_variant
	{
		std::string name;
		router_maker make;
	};

	run_statistics run(
		user_profile const& user, workload const& load, router_variant const& variant, std::uint64_t seed)
	{
		engine_parameters parameters;
		parameters.link_bytes_per_us = user.link_bytes_per_us;
		event_queue events;
		engine_set engines;
		for (auto index = 0; index < user.prefill_engines; ++index)
		{
			engines.prefill.push_back(std::make_unique<prefill_model>(events, parameters, engines.totals));
		}
		for (auto index = 0; index < user.decode_engines; ++index)
		{
			engines.decode.push_back(std::make_unique<decode_model>(events, parameters));
		}
		auto const tested_router = variant.make(events, engines, user, seed);
		std::vector<outcome> outcomes;
		for (auto& each : make_arrivals(user, load, parameters, run_length, seed))
		{
			outcomes.emplace_back().requested = std::move(each);
		}
		for (std::size_t index = 0; index < outcomes.size(); ++index)
		{
			auto& target = outcomes[index];
			events.schedule_after(
				target.requested.at - events.now(), [&, index] { tested_router->begin(index, outcomes[index]); });
			if (target.requested.disconnects_after > duration{})
			{
				events.schedule_after(target.requested.at - events.now() + target.requested.disconnects_after,
					[&, index]
					{
						outcomes[index].is_cancelled = !outcomes[index].is_complete;
						tested_router->disconnect(index);
					});
			}
		}
		schedule_disturbance(events, engines, load.disturbance_kind);
		events.run_until(time_point(run_length + drain_length));
		return summarise(outcomes, engines.totals);
	}

	std::vector<router_variant> all_router_variants()
	{
		auto const core = [](core_options selected)
		{
			return [selected](event_queue& events, engine_set& engines, user_profile const& user, std::uint64_t seed)
			{
				return make_core_router(events, engines, user, selected, seed);
			};
		};
		auto const base = [](baseline kind)
		{
			return [kind](event_queue& events, engine_set& engines, user_profile const&, std::uint64_t seed)
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
		user_profile user;
		workload load;
		router_variant variant;
		std::vector<run_statistics> runs;

		[[nodiscard]] double mean(double run_statistics::* field) const
		{
			auto const add = [field](double sum, run_statistics const& each)
			{
				return sum + each.*field;
			};
			return std::accumulate(this->runs.begin(), this->runs.end(), 0.0, add) /
				   static_cast<double>(this->runs.size());
		}

		[[nodiscard]] std::pair<double, double> range(double run_statistics::* field) const
		{
			auto const [lowest, highest] = std::ranges::minmax_element(
				this->runs, std::less{}, [field](run_statistics const& each) { return each.*field; });
			return {*lowest.*field, *highest.*field};
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
				row.runs[task % seeds] = run(row.user, row.load, row.variant, 1 + task % seeds);
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
			auto const [lowest, highest] = row.range(&run_statistics::goodput);
			out << fmt::format("{:<8} {:<16} {:<15} {:6.2f} ({:6.2f}-{:6.2f}) {:7.2f} {:7.2f} {:8.2f} {:7.2f}  "
							   "{:6.0f}/{:6.0f}/{:6.0f}  {:6.1f}/{:6.1f}/{:6.1f}      {:6.2f} {:6.2f} {:10.0f}\n",
				row.user.name, row.load.name, row.variant.name, 100 * row.mean(&run_statistics::goodput), 100 * lowest,
				100 * highest, 100 * row.mean(&run_statistics::waste), 100 * row.mean(&run_statistics::recomputed),
				100 * row.mean(&run_statistics::refused), 100 * row.mean(&run_statistics::failed),
				row.mean(&run_statistics::first_p50), row.mean(&run_statistics::first_p95),
				row.mean(&run_statistics::first_p99), row.mean(&run_statistics::gap_p50),
				row.mean(&run_statistics::gap_p95), row.mean(&run_statistics::gap_p99),
				100 * row.mean(&run_statistics::first_token_share), 100 * row.mean(&run_statistics::token_gap_share),
				row.mean(&run_statistics::refusal_p99));
		}
	}

	void write_csv(std::vector<table_row> const& rows, std::string const& path)
	{
		std::ofstream out(path);
		out << "user,workload,load,router,goodput,goodput_min,goodput_max,waste,recomputed,refused,first_p95_ms,gap_"
			   "p95_ms\n";
		for (auto const& row : rows)
		{
			auto const [lowest, highest] = row.range(&run_statistics::goodput);
			out << fmt::format("{},{},{},{},{:.4f},{:.4f},{:.4f},{:.4f},{:.4f},{:.4f},{:.1f},{:.1f}\n", row.user.name,
				row.load.name, row.load.load_factor, row.variant.name, row.mean(&run_statistics::goodput), lowest,
				highest, row.mean(&run_statistics::waste), row.mean(&run_statistics::recomputed),
				row.mean(&run_statistics::refused), row.mean(&run_statistics::first_p95),
				row.mean(&run_statistics::gap_p95));
		}
	}

	// Returns the row of a user, workload and router, or nullptr if there is none.
	table_row const* find_row(
		std::vector<table_row> const& rows, std::string const& user, std::string const& load, std::string const& router)
	{
		auto const found = std::ranges::find_if(rows, [&](table_row const& row)
			{ return row.user.name == user && row.load.name == load && row.variant.name == router; });
		return found == rows.end() ? nullptr : &*found;
	}

	// Compares the mean over the seeds with each bound that follows from the targets, and prints whether the bound is
	// met. All rows must have been run.
	void print_bounds(std::vector<table_row> const& rows, std::ostream& out)
	{
		constexpr double share_in_time = 0.95;
		constexpr double max_waste_at_90 = 0.01;
		constexpr double max_waste = 0.03;
		auto const print_bound = [&](std::string const& what, double measured, bool is_met)
		{
			out << fmt::format("{:<8} {:<58} {:7.2f}%\n", is_met ? "met" : "NOT MET", what, 100 * measured);
		};
		auto const own_router = std::string("godwittrestle");
		for (auto const& user : {malinis(), cascade()})
		{
			auto const* const at_90 = find_row(rows, user.name, "steady 90%", own_router);
			auto const* const at_100 = find_row(rows, user.name, "steady 100%", own_router);
			auto const* const at_120 = find_row(rows, user.name, "steady 120%", own_router);
			auto const first = at_90->mean(&run_statistics::first_token_share);
			print_bound(
				user.name + ": first token in time at 90%, 95 in 100 of the admitted", first, first >= share_in_time);
			auto const gap = at_90->mean(&run_statistics::token_gap_share);
			print_bound(user.name + ": tokens in time at 90%, 95 in 100 of the admitted", gap, gap >= share_in_time);
			auto const waste = at_90->mean(&run_statistics::waste);
			print_bound(user.name + ": waste below 1% at 90%", waste, waste < max_waste_at_90);
			for (auto const* const name : {"steady 120%", "decode lost", "prefill lost", "decode slow", "prefill slow"})
			{
				auto const measured = find_row(rows, user.name, name, own_router)->mean(&run_statistics::waste);
				print_bound(fmt::format("{}: waste below 3%, {}", user.name, name), measured, measured < max_waste);
			}
			auto const served_100 = at_100->mean(&run_statistics::goodput) * at_100->load.load_factor;
			auto const served_120 = at_120->mean(&run_statistics::goodput) * at_120->load.load_factor;
			print_bound(user.name + ": goodput at 120% no lower than at 100%, of capacity", served_120,
				served_120 >= served_100);
			for (auto const& load : all_workloads())
			{
				auto const own_goodput =
					find_row(rows, user.name, load.name, own_router)->mean(&run_statistics::goodput);
				auto best = 0.0;
				for (auto const* const name : {"round robin", "least load", "two choices"})
				{
					best = std::max(best, find_row(rows, user.name, load.name, name)->mean(&run_statistics::goodput));
				}
				print_bound(fmt::format("{}: goodput above the best baseline by, {}", user.name, load.name),
					own_goodput - best, own_goodput > best);
			}
		}
	}

	bool matches(std::string const& wanted, std::string const& name)
	{
		return wanted.empty() || name.find(wanted) != std::string::npos;
	}

	int run_selected(options::variables_map const& given)
	{
		std::vector<table_row> rows;
		for (auto const& user : {malinis(), cascade()})
		{
			for (auto const& load : all_workloads())
			{
				for (auto const& variant : all_router_variants())
				{
					if (matches(given["user"].as<std::string>(), user.name) &&
						matches(given["workload"].as<std::string>(), load.name) &&
						matches(given["router"].as<std::string>(), variant.name))
					{
						rows.push_back(
							{user, load, variant, std::vector<run_statistics>(given["seeds"].as<std::size_t>())});
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
		if (rows.size() == 2 * all_workloads().size() * all_router_variants().size())
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
	options::options_description description(
		"Policy bench: runs the real decision core and baseline routers on modelled engines in virtual time");
	auto add = description.add_options();
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
		options::store(options::parse_command_line(count, arguments, description), given);
		options::notify(given);
		if (given.contains("help"))
		{
			std::cout << description;
			return 0;
		}
		return run_selected(given);
	}
	catch (std::exception const& error)
	{
		std::cerr << error.what() << '\n';
		return 2;
	}
}
