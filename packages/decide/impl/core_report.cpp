#include <godwittrestle/decide/core.hpp>

#include <algorithm>
#include <iterator>

namespace godwittrestle::decide
{
	core_status core::status(time_point now) const
	{
		core_status shown;
		shown.state = this->state;
		shown.trusted = !this->unverified_since;
		shown.config_version = this->policies.version();
		shown.digest = this->policies.digest();
		if (this->policies.active())
		{
			shown.revision = this->policies.active()->document().revision();
			shown.config_age = now - this->policies.applied_at();
		}
		shown.list_version = this->members.list().version;
		shown.live_daemons = this->members.eligible(now);
		for (auto const& [id, scheduler] : this->owner.cells())
		{
			shown.owned_cells.push_back(scheduler.status(now));
		}
		std::ranges::transform(this->policies.refused(), std::back_inserter(shown.refused),
			[](refused_document const& refused)
			{ return refusal_status{platform_version(refused.published.platform_version()), refused.reason}; });
		shown.completions = this->streams.running();
		shown.plain_calls = this->repeatable_calls.running();
		shown.keyed_calls = this->keyed.running();
		shown.totals = this->totals;
		return shown;
	}

	explanation core::explain(service_id const& service_name, time_point now) const
	{
		explanation answer;
		auto const* const service =
			this->policies.active() ? this->policies.active()->find_service(service_name) : nullptr;
		if (service == nullptr)
		{
			answer.note = "the policy in force has no such service";
			return answer;
		}
		answer.known_service = true;
		answer.priority = service->priority();
		answer.patience = milliseconds(service->patience_ms());
		if (!service->plain_pool().empty())
		{
			answer.kind = "plain";
			for (auto const& server : this->members.list().servers)
			{
				if (server.pool.str() == service->plain_pool() && this->members.accepts_work(server.id))
				{
					answer.candidates.push_back(server.id);
				}
			}
			answer.note = "repeatable calls go to the least busy server, near ones first; others to the key's issuer";
			return answer;
		}
		answer.kind = "model";
		answer.objective = policy::Objective_Name(service->objective());
		auto const target = std::ranges::find_if(*this->cells, [&](cell const& each)
			{ return each.prefill_pool == service->prefill_pool() && each.decode_pool == service->decode_pool(); });
		if (target == this->cells->end())
		{
			answer.note = "no region has servers of both pools";
			return answer;
		}
		answer.cell = target->id;
		auto const holder = owner_of(*target, this->members, now);
		answer.owner = holder ? holder->str() : "";
		for (auto const* const pool_servers : {&target->prefill, &target->decode})
		{
			std::ranges::copy_if(*pool_servers, std::back_inserter(answer.candidates),
				[&](server_id const& server) { return this->members.accepts_work(server); });
		}
		answer.note = service->objective() == policy::WASTE
						  ? "a prefill starts only with its decode slot free and held"
						  : "a prefill starts when a decode slot is free or expected to be by its end";
		return answer;
	}
}
