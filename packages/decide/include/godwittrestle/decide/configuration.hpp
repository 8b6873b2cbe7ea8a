#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <godwittrestle/base/ids.hpp>
#include <godwittrestle/base/units.hpp>
#include <godwittrestle/decide/event.hpp>
#include <godwittrestle/decide/fwd.hpp>
#include <godwittrestle/decide/settings.hpp>
#include <godwittrestle/policy/policy.pb.h>

namespace godwittrestle::decide
{
	// A policy in force, with what is looked up in it often.
	class active_policy
	{
	  public:
		active_policy(policy::SealedPolicy document, platform_version version);

		[[nodiscard]] policy::SealedPolicy const& document() const noexcept
		{
			return this->sealed;
		}

		[[nodiscard]] platform_version version() const noexcept
		{
			return this->published;
		}

		// Each returns nothing when the policy has no such part.
		[[nodiscard]] policy::Service const* find_service(service_id const& service) const;
		[[nodiscard]] policy::Pool const* find_pool(std::string const& pool) const;
		[[nodiscard]] policy::Account const* find_account_by_token(std::string const& bearer_token) const;

		// Returns the name of the region that a data centre is in; the data centre's own name when none has it.
		[[nodiscard]] std::string region_of(data_centre_id const& data_centre) const;

	  private:
		policy::SealedPolicy sealed;
		platform_version published;
		std::map<std::string, policy::Service const*> services;
		std::map<std::string, policy::Pool const*> pools;
		std::map<std::string, policy::Account const*> accounts_by_token;
		std::map<std::string, std::string> regions;
	};

	// A published document that did not come into force.
	struct refused_document
	{
		policy::Ancestor published;
		std::string reason;
	};

	// Which policy is in force. Whether a document comes into force depends on nothing but the document and the version
	// it was published as, so every daemon decides alike, whichever documents it missed.
	class configuration
	{
	  public:
		explicit configuration(mechanism_set const& mechanisms);

		// Decides on a document, from the configuration service or from a peer. Returns true when it is now in force.
		bool offer(platform_version version, policy::SealedPolicy document, turn& now);

		// Takes note of a value that could not even be parsed.
		void refuse_unreadable(platform_version version, std::string const& fault, turn& now);

		// Decides on a peer's document or delta. Returns true when it is now in force.
		bool handle(wire::ConfigPush const& push, turn& now);

		// Returns what a peer that has the given document lacks; an empty push when it lacks nothing.
		[[nodiscard]] wire::ConfigPush const& answer(wire::ConfigPull const& pull);

		// Returns the policy in force, or nothing before the first.
		[[nodiscard]] std::shared_ptr<active_policy const> const& active() const noexcept
		{
			return this->current;
		}

		[[nodiscard]] platform_version version() const noexcept;
		[[nodiscard]] std::string digest() const;

		// Documents refused since the one in force was published, oldest first.
		[[nodiscard]] std::deque<refused_document> const& refused() const noexcept
		{
			return this->refusals;
		}

		// When the policy in force was taken over.
		[[nodiscard]] time_point applied_at() const noexcept
		{
			return this->applied_time;
		}

	  private:
		[[nodiscard]] std::string reason_to_refuse(
			platform_version version, policy::SealedPolicy const& document) const;
		// base_version: what the document was sealed on; 0 when it is unreadable or invalid, which a later document
		// passes over like one that was out of turn.
		void refuse(platform_version version, std::uint64_t base_version, std::string reason, turn& now);
		void keep_as_delta_base();

		mechanism_set const* mechanisms;
		std::shared_ptr<active_policy const> current;
		// Earlier documents in force, newest first, that deltas can be made against.
		std::deque<std::shared_ptr<active_policy const>> previous_documents;
		std::deque<refused_document> refusals;
		// Answers to pulls, by the digest that the peer has; most peers have the same.
		std::map<std::string, wire::ConfigPush> pull_answers;
		time_point applied_time;
	};
}
