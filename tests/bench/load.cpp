#include <algorithm>
#include <chrono>
#include <exception>
#include <functional>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <godwittrestle/base/error.hpp>
#include <godwittrestle/http.hpp>

// Streams completions through daemons or directly from emulated engines. Prints percentiles of the time to the first
// token and of the time between tokens.
namespace
{
	using namespace godwittrestle;
	namespace asio = boost::asio;
	namespace options = boost::program_options;
	using clock_type = std::chrono::steady_clock;

	struct load_options
	{
		std::vector<http::endpoint> daemons;
		http::endpoint prefill;
		http::endpoint decode;
		bool is_direct = false;
		std::string model;
		int streams = 1;
		int requests = 10;
		int tokens = 50;
		std::size_t prompt_bytes = 4000;
	};

	struct latency_samples
	{
		std::vector<double> first_ms;
		std::vector<double> gap_ms;
		std::uint64_t tokens = 0;
		std::uint64_t failed = 0;
	};

	double milliseconds_between(clock_type::time_point from, clock_type::time_point to)
	{
		return std::chrono::duration<double, std::milli>(to - from).count();
	}

	class load_generator
	{
	  public:
		load_generator(asio::io_context& loop, load_options const& wanted)
			: client(loop.get_executor())
			, config(&wanted)
		{
		}

		// Sends requests one after the other until all requests of the run have been started. Several coroutines may
		// run this at the same time.
		asio::awaitable<void> stream_requests()
		{
			while (this->started_requests < this->config->requests)
			{
				auto const number = this->started_requests++;
				co_await this->run_one(number);
			}
		}

		latency_samples samples;

	  private:
		asio::awaitable<void> run_one(int number)
		{
			auto const began = clock_type::now();
			auto last = began;
			auto count = 0;
			http::sse_parser parser;
			std::function<asio::awaitable<void>(std::string_view)> on_chunk =
				[&](std::string_view chunk) -> asio::awaitable<void>
			{
				for (auto const& event : parser.feed(chunk))
				{
					if (event.id.empty())
					{
						continue;
					}
					auto const now = clock_type::now();
					auto& target = count == 0 ? this->samples.first_ms : this->samples.gap_ms;
					target.push_back(milliseconds_between(count == 0 ? began : last, now));
					last = now;
					++count;
				}
				co_return;
			};
			http::endpoint destination = this->config->decode;
			http::request message;
			if (this->config->is_direct)
			{
				message = co_await this->prefill(number);
			}
			else
			{
				destination = this->config->daemons[static_cast<std::size_t>(number) % this->config->daemons.size()];
				message = this->make_completion(number);
			}
			http::call_options const settings{seconds(60), true};
			auto const outcome =
				co_await this->client.stream(destination, std::move(message), settings, std::move(on_chunk));
			auto const* const answer = std::get_if<http::response>(&outcome);
			this->samples.tokens += static_cast<std::uint64_t>(count);
			this->samples.failed += answer == nullptr || answer->status != 200 || count != this->config->tokens ? 1 : 0;
		}

		[[nodiscard]] std::string prompt_of(int number) const
		{
			return fmt::format("{:08}", number) + std::string(this->config->prompt_bytes, '.');
		}

		[[nodiscard]] http::request make_completion(int number) const
		{
			boost::json::object body;
			body["model"] = this->config->model;
			body["prompt"] = this->prompt_of(number);
			body["max_tokens"] = this->config->tokens;
			body["stream"] = true;
			return {"POST", "/v1/completions", {}, boost::json::serialize(body)};
		}

		// Runs the prefill and returns the request of the decode call that follows it.
		asio::awaitable<http::request> prefill(int number)
		{
			boost::json::object body;
			body["request"] = fmt::format("direct-{}", number);
			body["prompt"] = this->prompt_of(number);
			http::request first{"POST", "/v1/prefill", {}, boost::json::serialize(body)};
			http::call_options const settings;
			auto const outcome = co_await this->client.call(this->config->prefill, std::move(first), settings);
			if (auto const* const answer = std::get_if<http::response>(&outcome))
			{
				boost::system::error_code error;
				auto const value = boost::json::parse(answer->body, error);
				body["transfer"] = error ? boost::json::value("") : value.at("transfer");
			}
			body["max_tokens"] = this->config->tokens;
			co_return http::request{"POST", "/v1/decode", {}, boost::json::serialize(body)};
		}

		http::client client;
		load_options const* config;
		int started_requests = 0;
	};

	double percentile(std::vector<double>& values, double share)
	{
		if (values.empty())
		{
			return 0;
		}
		auto const position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
		std::ranges::nth_element(values, values.begin() + position);
		return values[static_cast<std::size_t>(position)];
	}

	result<load_options> read_options(options::variables_map const& given)
	{
		load_options wanted;
		for (auto const& address : given["daemon"].as<std::vector<std::string>>())
		{
			BOOST_LEAF_AUTO(destination, http::parse_endpoint(address, "--daemon"));
			wanted.daemons.push_back(destination);
		}
		wanted.is_direct = given.contains("prefill");
		if (wanted.is_direct)
		{
			BOOST_LEAF_ASSIGN(wanted.prefill, http::parse_endpoint(given["prefill"].as<std::string>(), "--prefill"));
			BOOST_LEAF_ASSIGN(wanted.decode, http::parse_endpoint(given["decode"].as<std::string>(), "--decode"));
		}
		wanted.model = given["model"].as<std::string>();
		wanted.streams = given["streams"].as<int>();
		wanted.requests = given["requests"].as<int>();
		wanted.tokens = given["tokens"].as<int>();
		return wanted;
	}

	int run(load_options const& wanted)
	{
		asio::io_context loop{1};
		load_generator load(loop, wanted);
		auto const began = clock_type::now();
		for (auto stream = 0; stream < wanted.streams; ++stream)
		{
			asio::co_spawn(loop, load.stream_requests(), asio::detached);
		}
		loop.run();
		auto const took = milliseconds_between(began, clock_type::now()) / 1000;
		auto& seen = load.samples;
		std::cout << fmt::format(
			"{:<7} streams={:<4} requests={:<5} failed={:<3} first token p50 {:7.2f} p99 {:7.2f} ms, "
			"between tokens p50 {:6.2f} p99 {:6.2f} ms, {:8.0f} tokens/s\n",
			wanted.is_direct ? "direct" : "routed", wanted.streams, wanted.requests, seen.failed,
			percentile(seen.first_ms, 0.5), percentile(seen.first_ms, 0.99), percentile(seen.gap_ms, 0.5),
			percentile(seen.gap_ms, 0.99), static_cast<double>(seen.tokens) / took);
		return seen.failed == 0 ? 0 : 1;
	}
}

int main(int count, char const* const* arguments)
{
	options::options_description description("Load generator: streams completions and prints their latency");
	auto add = description.add_options();
	add("help", "print this help");
	add("daemon", options::value<std::vector<std::string>>()->default_value({}, ""),
		"address where a daemon accepts callers");
	add("prefill", options::value<std::string>(), "address of a prefill engine, to call the engines directly");
	add("decode", options::value<std::string>(), "address of a decode engine");
	add("model", options::value<std::string>()->default_value("history-summary"),
		"service that the requests name as model");
	add("streams", options::value<int>()->default_value(1), "number of requests at the same time");
	add("requests", options::value<int>()->default_value(10), "total number of requests");
	add("tokens", options::value<int>()->default_value(50), "number of tokens of each answer");
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
		return handle_failure(
			[&]() -> result<int>
			{
				BOOST_LEAF_AUTO(wanted, read_options(given));
				return run(wanted);
			},
			[](failure const& error)
			{
				std::cerr << describe(error) << '\n';
				return 2;
			});
	}
	catch (std::exception const& error)
	{
		std::cerr << error.what() << '\n';
		return 2;
	}
}
