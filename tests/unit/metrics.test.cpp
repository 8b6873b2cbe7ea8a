#include <catch2/catch.hpp>

#include <godwittrestle/daemon/metrics.hpp>

using namespace godwittrestle;

TEST_CASE("the metrics contain answers, answers in time, wasted prefill tokens and refusals by kind", "[metrics]")
{
	decide::core_status status;
	status.totals.answers = 5;
	status.totals.answers_in_time = 4;
	status.totals.wasted_tokens = 7;
	status.totals.refusals[decide::refusal_kind::too_late] = 3;
	auto const text = daemon::render_metrics(status, {});
	for (auto const* const line : {"godwittrestle_answers_total 5", "godwittrestle_answers_in_time_total 4",
			 "godwittrestle_wasted_prefill_tokens_total 7", "godwittrestle_refusals_total{kind=\"too_late\"} 3"})
	{
		CAPTURE(line, text);
		REQUIRE(text.find(line) != std::string::npos);
	}
}
