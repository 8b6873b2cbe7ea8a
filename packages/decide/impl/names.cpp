#include <godwittrestle/decide/action.hpp>
#include <godwittrestle/decide/status.hpp>

namespace godwittrestle::decide
{
	std::string_view to_string(refusal_kind kind) noexcept
	{
		switch (kind)
		{
			case refusal_kind::invalid_request:
				return "invalid_request";
			case refusal_kind::unauthorised:
				return "unauthorised";
			case refusal_kind::unknown_service:
				return "unknown_service";
			case refusal_kind::too_large:
				return "too_large";
			case refusal_kind::key_required:
				return "key_required";
			case refusal_kind::key_invalid:
				return "key_invalid";
			case refusal_kind::key_mismatch:
				return "key_mismatch";
			case refusal_kind::rate_limited:
				return "rate_limited";
			case refusal_kind::too_late:
				return "too_late";
			case refusal_kind::no_server:
				return "no_server";
			case refusal_kind::not_ready:
				return "not_ready";
			case refusal_kind::draining:
				return "draining";
			case refusal_kind::deadline:
				return "deadline";
			case refusal_kind::backend_failed:
				return "backend_failed";
			case refusal_kind::outcome_unknown:
				return "outcome_unknown";
			case refusal_kind::not_run:
				return "not_run";
		}
		return "unknown";
	}

	unsigned http_status(refusal_kind kind) noexcept
	{
		switch (kind)
		{
			case refusal_kind::invalid_request:
			case refusal_kind::key_invalid:
				return 400;
			case refusal_kind::unauthorised:
				return 401;
			case refusal_kind::unknown_service:
				return 404;
			case refusal_kind::too_large:
				return 413;
			case refusal_kind::key_mismatch:
				return 422;
			case refusal_kind::key_required:
				return 428;
			case refusal_kind::rate_limited:
			case refusal_kind::too_late:
				return 429;
			case refusal_kind::no_server:
			case refusal_kind::not_ready:
			case refusal_kind::draining:
			case refusal_kind::not_run:
				return 503;
			case refusal_kind::deadline:
			case refusal_kind::outcome_unknown:
				return 504;
			case refusal_kind::backend_failed:
				return 502;
		}
		return 500;
	}

	std::string_view to_string(readiness state) noexcept
	{
		switch (state)
		{
			case readiness::starting:
				return "starting";
			case readiness::ready:
				return "ready";
			case readiness::leaving:
				return "leaving";
		}
		return "unknown";
	}
}
