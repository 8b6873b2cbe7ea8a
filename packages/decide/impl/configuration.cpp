#include <godwittrestle/decide/configuration.hpp>

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>
#include <godwittrestle/decide/event_context.hpp>
#include <godwittrestle/policy.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr std::size_t max_refusals = 64;
		constexpr std::size_t max_previous_documents = 4;

		bool has_ancestor(policy::SealedPolicy const& document, std::string const& digest)
		{
			return std::ranges::any_of(
				document.ancestors(), [&](policy::Ancestor const& ancestor) { return ancestor.digest() == digest; });
		}
	}

	active_policy::active_policy(policy::SealedPolicy document, platform_version version)
		: sealed(std::move(document))
		, published(version)
	{
		for (auto const& service : this->sealed.policy().services())
		{
			this->services.emplace(service.name(), &service);
		}
		for (auto const& pool : this->sealed.policy().pools())
		{
			this->pools.emplace(pool.name(), &pool);
		}
		for (auto const& account : this->sealed.policy().accounts())
		{
			this->accounts_by_token.emplace(account.token_sha256(), &account);
		}
		for (auto const& region : this->sealed.policy().regions())
		{
			for (auto const& data_centre : region.data_centres())
			{
				this->regions.emplace(data_centre, region.name());
			}
		}
	}

	policy::Service const* active_policy::find_service(service_id const& service) const
	{
		auto const found = this->services.find(service.str());
		return found == this->services.end() ? nullptr : found->second;
	}

	policy::Pool const* active_policy::find_pool(std::string const& pool) const
	{
		auto const found = this->pools.find(pool);
		return found == this->pools.end() ? nullptr : found->second;
	}

	policy::Account const* active_policy::find_account_by_token(std::string const& bearer_token) const
	{
		auto const found = this->accounts_by_token.find(bearer_token.empty() ? "" : sha256_hex(bearer_token));
		return found == this->accounts_by_token.end() ? nullptr : found->second;
	}

	std::string active_policy::region_of(data_centre_id const& data_centre) const
	{
		auto const found = this->regions.find(data_centre.str());
		return found == this->regions.end() ? data_centre.str() : found->second;
	}

	configuration::configuration(mechanism_set const& enabled)
		: mechanisms(&enabled)
	{
	}

	platform_version configuration::version() const noexcept
	{
		return this->current ? this->current->version() : platform_version{};
	}

	std::string configuration::digest() const
	{
		return this->current ? this->current->document().digest() : std::string{};
	}

	bool configuration::offer(platform_version version, policy::SealedPolicy document, event_context& context)
	{
		if (version == this->version() || (version < this->version() && this->mechanisms->version_order))
		{
			return false;
		}
		auto reason = this->reason_to_refuse(version, document);
		if (!reason.empty())
		{
			auto const is_out_of_turn = document.base_version() + 1 != version.count();
			this->refuse(version, is_out_of_turn ? document.base_version() : 0, std::move(reason), context);
			return false;
		}
		this->keep_as_delta_base();
		this->current = std::make_shared<active_policy const>(std::move(document), version);
		this->applied_time = context.now();
		this->pull_answers.clear();
		std::erase_if(this->refusals,
			[&](refused_document const& refused) { return refused.published.platform_version() <= version.count(); });
		context.record("config_in_force", {},
			fmt::format("version {} revision {}", version.count(), this->current->document().revision()));
		return true;
	}

	void configuration::refuse_unreadable(platform_version version, std::string const& fault, event_context& context)
	{
		if (version > this->version())
		{
			this->refuse(version, 0, fault, context);
		}
	}

	bool configuration::handle(wire::ConfigPush const& push, event_context& context)
	{
		platform_version const version(push.config_version());
		if (version <= this->version() && this->mechanisms->version_order)
		{
			return false;
		}
		if (!push.document().empty())
		{
			policy::SealedPolicy document;
			return document.ParseFromString(push.document()) && this->offer(version, std::move(document), context);
		}
		if (!this->current || this->digest() != push.base_digest())
		{
			return false;
		}
		return handle_failure(
			[&]() -> result<bool>
			{
				BOOST_LEAF_AUTO(document, policy::apply_delta(this->current->document(), push.section_delta()));
				return this->offer(version, std::move(document), context);
			},
			[&](failure const& error)
			{
				context.record("config_delta_refused", {}, describe(error));
				return false;
			});
	}

	wire::ConfigPush const& configuration::answer(wire::ConfigPull const& pull)
	{
		auto const [entry, is_new] = this->pull_answers.try_emplace(pull.have_digest());
		auto& push = entry->second;
		if (!is_new || !this->current || pull.have_digest() == this->digest())
		{
			return push;
		}
		push.set_config_version(this->version().count());
		auto const base = std::ranges::find_if(this->previous_documents,
			[&](auto const& document) { return document->document().digest() == pull.have_digest(); });
		if (base == this->previous_documents.end())
		{
			push.set_document(this->current->document().SerializeAsString());
			return push;
		}
		push.set_base_digest(pull.have_digest());
		push.set_section_delta(policy::make_delta((*base)->document(), this->current->document()));
		return push;
	}

	std::string configuration::reason_to_refuse(platform_version version, policy::SealedPolicy const& document) const
	{
		auto const in_force = this->current ? this->current->document().revision() : 0;
		auto const rebase = fmt::format("rebase on revision {}", in_force);
		if (document.base_version() + 1 != version.count() && this->mechanisms->out_of_turn_refusal)
		{
			return fmt::format("sealed on version {} but published as version {}; {}", document.base_version(),
				version.count(), rebase);
		}
		auto const fault = handle_failure(
			[&]() -> result<std::string>
			{
				BOOST_LEAF_CHECK(policy::check_sealed(document));
				return std::string{};
			},
			[](failure const& error) { return describe(error); });
		if (!fault.empty())
		{
			return fault;
		}
		auto const is_far_behind = document.revision() > in_force + policy::max_ancestors;
		auto const is_ancestry_checked = this->current && this->mechanisms->version_order;
		if (is_ancestry_checked && !is_far_behind && !has_ancestor(document, this->digest()))
		{
			return fmt::format("the document is of another line; {}", rebase);
		}
		return {};
	}

	void configuration::refuse(
		platform_version version, std::uint64_t base_version, std::string reason, event_context& context)
	{
		auto const is_known = std::ranges::any_of(this->refusals,
			[&](refused_document const& refused) { return refused.published.platform_version() == version.count(); });
		if (is_known)
		{
			return;
		}
		context.record("config_refused", {}, fmt::format("version {}: {}", version.count(), reason));
		policy::Ancestor published;
		published.set_platform_version(version.count());
		published.set_base_version(base_version);
		this->refusals.push_back({std::move(published), std::move(reason)});
		if (this->refusals.size() > max_refusals)
		{
			this->refusals.pop_front();
		}
	}

	void configuration::keep_as_delta_base()
	{
		if (!this->current)
		{
			return;
		}
		this->previous_documents.push_front(this->current);
		if (this->previous_documents.size() > max_previous_documents)
		{
			this->previous_documents.pop_back();
		}
	}
}
