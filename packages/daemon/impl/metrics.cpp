#include <godwittrestle/daemon/metrics.hpp>

#include <sstream>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace godwittrestle::daemon
{
	namespace
	{
		constexpr double microseconds_per_second = 1e6;

		// Fills a registry for one scrape, with the totals that the core keeps.
		class metric_writer
		{
		  public:
			void count(std::string const& name, std::string const& help, std::uint64_t value,
				prometheus::Labels const& labels = {})
			{
				this->add_counter(name, help, static_cast<double>(value), labels);
			}

			void count_seconds(std::string const& name, std::string const& help, std::uint64_t value_us)
			{
				this->add_counter(name, help, static_cast<double>(value_us) / microseconds_per_second, {});
			}

			void gauge(
				std::string const& name, std::string const& help, double value, prometheus::Labels const& labels = {})
			{
				prometheus::BuildGauge()
					.Name("godwittrestle_" + name)
					.Help(help)
					.Register(this->registry)
					.Add(labels)
					.Set(value);
			}

			[[nodiscard]] std::string text() const
			{
				std::ostringstream out;
				prometheus::TextSerializer{}.Serialize(out, this->registry.Collect());
				return out.str();
			}

		  private:
			void add_counter(
				std::string const& name, std::string const& help, double value, prometheus::Labels const& labels)
			{
				prometheus::BuildCounter()
					.Name("godwittrestle_" + name)
					.Help(help)
					.Register(this->registry)
					.Add(labels)
					.Increment(value);
			}

			prometheus::Registry registry{prometheus::Registry::InsertBehavior::Merge};
		};

		void write_totals(metric_writer& out, decide::counters const& totals)
		{
			out.count("completions_total", "Requests to model services", totals.completions);
			out.count("answers_total", "Whole answers", totals.answers);
			out.count("answers_in_time_total", "Whole answers that met both latency targets", totals.answers_in_time);
			out.count("prefilled_tokens_total", "Tokens prefilled", totals.prefilled_tokens);
			out.count("wasted_prefill_tokens_total", "Tokens prefilled for nothing or twice", totals.wasted_tokens);
			out.count_seconds("wasted_prefill_seconds_total", "Time of prefills for nothing", totals.wasted_prefill_us);
			out.count("delivered_tokens_total", "Tokens passed on to callers", totals.delivered_tokens);
			out.count("dropped_duplicate_tokens_total", "Tokens that callers already had", totals.dropped_duplicates);
			out.count("resumed_total", "Attempts after a failed one", totals.resumed);
			out.count_seconds("queue_seconds_total", "Time that granted requests waited", totals.queue_time_us);
			out.count("leases_granted_total", "Leases granted as cell owner", totals.leases_granted);
			out.count("leases_lapsed_total", "Leases that were not renewed", totals.leases_lapsed);
			out.count("cancels_sent_total", "Cancels sent to engines", totals.cancels_sent);
			out.count("orphans_cancelled_total", "Requests cancelled that nobody ran", totals.orphans_cancelled);
			out.count("orders_sent_total", "Orders sent to engines", totals.orders_sent);
			out.count("plain_calls_total", "Repeatable calls", totals.plain_calls);
			out.count("plain_retries_total", "Repeated calls", totals.plain_retries);
			std::string const name = "keyed_calls_total";
			std::string const help = "Calls that must not be repeated, by outcome";
			out.count(name, help, totals.keyed_ran, {{"outcome", "ran"}});
			out.count(name, help, totals.keyed_not_run, {{"outcome", "not_run"}});
			out.count(name, help, totals.keyed_unknown, {{"outcome", "unknown"}});
			out.count("keyed_replays_total", "Answers that were recorded earlier", totals.keyed_replays);
			for (auto const& [kind, count] : totals.refusals)
			{
				out.count("refusals_total", "Refused requests, by kind", count,
					{{"kind", std::string(decide::to_string(kind))}});
			}
		}
	}

	std::string render_metrics(decide::core_status const& status, process_metrics const& process)
	{
		metric_writer out;
		write_totals(out, status.totals);
		out.gauge("ready", "1 while new work is taken", status.state == decide::readiness::ready ? 1 : 0);
		out.gauge("config_version", "Platform version in force", static_cast<double>(status.config_version.count()));
		out.gauge("config_revision", "Revision in force", static_cast<double>(status.revision));
		out.gauge("config_age_seconds", "Time since the policy in force was taken over",
			static_cast<double>(status.config_age.count()) / microseconds_per_second);
		out.gauge("config_refused", "Documents refused since", static_cast<double>(status.refused.size()));
		out.gauge("live_daemons", "Daemons alive and not leaving", static_cast<double>(status.live_daemons.size()));
		out.gauge("owned_cells", "Cells owned", static_cast<double>(status.owned_cells.size()));
		for (auto const& cell : status.owned_cells)
		{
			prometheus::Labels const labels{{"cell", cell.cell.str()}};
			out.gauge("waiting_requests", "Requests that wait for a lease", static_cast<double>(cell.waiting), labels);
			out.gauge("active_leases", "Leases held", static_cast<double>(cell.leased), labels);
		}
		std::string const depth = "ring_depth";
		std::string const depth_help = "Entries in a ring between threads";
		out.gauge(depth, depth_help, static_cast<double>(process.core_ring_depth), {{"ring", "core"}});
		out.gauge(depth, depth_help, static_cast<double>(process.caller_ring_depth), {{"ring", "caller"}});
		out.gauge(depth, depth_help, static_cast<double>(process.backend_ring_depth), {{"ring", "backend"}});
		out.gauge(depth, depth_help, static_cast<double>(process.peer_ring_depth), {{"ring", "peer"}});
		out.gauge("platform_answers", "1 while the platform answers", process.platform_answers ? 1 : 0);
		out.count("dropped_events_total", "Events dropped from the time line", process.dropped_events);
		return out.text();
	}
}
