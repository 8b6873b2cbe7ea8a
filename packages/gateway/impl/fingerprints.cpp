#include <godwittrestle/gateway/fingerprints.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <godwittrestle/decide/rendezvous.hpp>

namespace godwittrestle::gateway
{
	namespace
	{
		// Upper bound of the parts of one prompt that are told apart; a longer prompt is identified by its first parts.
		constexpr std::size_t max_parts = 32;

		template <typename Range>
		std::string join_texts(Range const& values)
		{
			auto const texts = values | std::views::transform([](fingerprint each) { return to_text(each); });
			return fmt::format("{}", fmt::join(texts.begin(), texts.end(), ","));
		}
	}

	routing::request_identity identify(http::request const& message, request_metadata const& call)
	{
		routing::request_identity identity;
		auto const model_hash = decide::hash_bytes(call.model);
		auto const hash_part = [&](std::string const& part)
		{
			return fingerprint(decide::hash_bytes(part, model_hash));
		};
		auto whole = model_hash;
		if (!call.prompt_parts.empty())
		{
			// The last part belongs to the request itself.
			auto const shared = std::min(call.prompt_parts.size() - 1, max_parts);
			std::ranges::transform(
				call.prompt_parts | std::views::take(shared), std::back_inserter(identity.shared_parts), hash_part);
			for (auto const& part : call.prompt_parts)
			{
				whole = decide::hash_bytes(part, whole);
			}
		}
		whole = decide::hash_bytes(message.method, whole);
		whole = decide::hash_bytes(message.find_header("Host"), whole);
		whole = decide::hash_bytes(message.target, whole);
		whole = decide::hash_bytes(message.find_header("Authorization"), whole);
		whole = decide::hash_bytes(message.body, whole);
		identity.request = fingerprint(whole);
		return identity;
	}

	fingerprint fingerprint_of(request_id const& attempt)
	{
		return fingerprint_of(attempt.str());
	}

	fingerprint fingerprint_of(std::string const& part)
	{
		return fingerprint(decide::hash_bytes(part));
	}

	std::string to_text(fingerprint value)
	{
		return fmt::format("{:016x}", value.count());
	}

	std::string to_text(std::vector<fingerprint> const& values)
	{
		return join_texts(values);
	}

	std::string to_text(std::set<fingerprint> const& values)
	{
		return join_texts(values);
	}
}
