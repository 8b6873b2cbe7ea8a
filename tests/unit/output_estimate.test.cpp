#include <catch2/catch.hpp>

#include <cmath>
#include <random>

#include <godwittrestle/routing/output_estimate.hpp>

using namespace godwittrestle;

namespace
{
	// Generates streams with hints. The output is lognormal around 3,000 tokens, and the hint is lognormal around the
	// output.
	class stream_generator
	{
	  public:
		stream_generator(double spread_of_streams, double spread_of_hints)
			: output(std::log(3000.0), spread_of_streams)
			, error(0, spread_of_hints)
		{
		}

		struct stream
		{
			token_count hint;
			token_count made;
		};

		stream next()
		{
			auto const made = this->output(this->random);
			auto const hint = made * std::exp(this->error(this->random));
			return {token_count(static_cast<std::uint32_t>(hint)), token_count(static_cast<std::uint32_t>(made))};
		}

	  private:
		std::mt19937 random{7};
		std::lognormal_distribution<double> output;
		std::normal_distribution<double> error;
	};

	double log_error(token_count left, token_count right)
	{
		return std::abs(std::log(static_cast<double>(left.count())) - std::log(static_cast<double>(right.count())));
	}

	struct errors
	{
		double of_hints = 0;
		double of_predictions = 0;
	};

	errors replay(stream_generator streams, int count)
	{
		routing::output_estimate estimate;
		errors sums;
		for (int number = 0; number < count; ++number)
		{
			auto const next = streams.next();
			estimate.note_hint(next.hint);
			sums.of_hints += log_error(next.hint, next.made);
			sums.of_predictions += log_error(estimate.predict(next.hint, token_count{}), next.made);
			estimate.note_outcome(next.hint, next.made);
		}
		return sums;
	}
}

TEST_CASE("hints that err as much as streams differ are moved towards the average", "[output]")
{
	auto const sums = replay(stream_generator(0.5, 0.5), 400);
	REQUIRE(sums.of_predictions < 0.8 * sums.of_hints);
}

TEST_CASE("accurate hints are followed after some outcomes", "[output]")
{
	auto const early = replay(stream_generator(0.5, 0.02), 40);
	auto const late = replay(stream_generator(0.5, 0.02), 800);
	auto const later_error = (late.of_predictions - early.of_predictions) / 760;
	REQUIRE(later_error < 0.1);
}

TEST_CASE("hints that are always too low are corrected upwards", "[output]")
{
	routing::output_estimate estimate;
	for (int number = 0; number < 200; ++number)
	{
		estimate.note_hint(token_count(1000));
		estimate.note_outcome(token_count(1000), token_count(2000));
	}
	REQUIRE(estimate.predict(token_count(1000), token_count{}).count() > 1900);
}

TEST_CASE("a prediction respects the caller's limit and exceeds the output made so far", "[output]")
{
	routing::output_estimate estimate;
	estimate.note_hint(token_count(3000));
	REQUIRE(estimate.predict(token_count(3000), token_count(500)) == token_count(500));
	REQUIRE(estimate.predict(token_count(3000), token_count{}, token_count(9000)).count() > 9000);
	REQUIRE(estimate.predict(token_count(3000), token_count(500), token_count(500)) == token_count(500));
	REQUIRE(estimate.predict(token_count{}, token_count{}).count() > 0);
}
