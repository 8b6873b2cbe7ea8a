#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include <godwittrestle/daemon/telemetry.hpp>

using namespace godwittrestle;

namespace
{
	// Collects what is written to standard error from construction to destruction.
	class captured_log
	{
	  public:
		captured_log()
			: previous(std::cerr.rdbuf(this->text.rdbuf()))
		{
		}

		~captured_log()
		{
			std::cerr.rdbuf(this->previous);
		}

		captured_log(captured_log const&) = delete;
		captured_log& operator=(captured_log const&) = delete;
		captured_log(captured_log&&) = delete;
		captured_log& operator=(captured_log&&) = delete;

		[[nodiscard]] std::vector<boost::json::object> lines() const
		{
			std::vector<boost::json::object> parsed;
			std::istringstream all(this->text.str());
			for (std::string line; std::getline(all, line);)
			{
				parsed.push_back(boost::json::parse(line).as_object());
			}
			return parsed;
		}

	  private:
		std::ostringstream text;
		std::streambuf* previous;
	};

	decide::record_event make_line(std::string request)
	{
		decide::record_event line;
		line.timestamp = 1;
		line.name = "request_served";
		line.request = request_id(std::move(request));
		return line;
	}
}

// Guards against a log from which nobody can tell whether a request has no line since lines were dropped (issue 77).
TEST_CASE("the log says how many lines were dropped", "[telemetry]")
{
	auto const lines = GENERATE(2, 3, 7);
	constexpr std::size_t ring_lines = 2;
	captured_log log;
	daemon::telemetry events({instance_id("d1"), data_centre_id("north"), ring_lines, 10, "INFO"});
	for (int number = 0; number < lines; ++number)
	{
		events.record(make_line(std::to_string(number)));
	}
	events.start();
	events.stop();
	auto const written = log.lines();
	auto const gap = std::ranges::find_if(
		written, [](auto const& line) { return line.at("event").as_string() == "log_lines_dropped"; });
	REQUIRE((gap != written.end()) == (lines > 2));
	if (gap != written.end())
	{
		REQUIRE(gap->at("lines").as_string() == std::to_string(lines - 2));
		REQUIRE(gap->at("since_start").as_string() == std::to_string(lines - 2));
		REQUIRE(gap->at("instance").as_string() == "d1");
	}
}
