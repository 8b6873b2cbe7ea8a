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
	// Holds a policy in force, with indexes for frequent lookups.
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

		// Each returns a null pointer if the policy has no such entry.
		[[nodiscard]] policy::Service const* find_service(service_id const& service) const;
		[[nodiscard]] policy::Pool const* find_pool(std::string const& pool) const;
		[[nodiscard]] policy::Account const* find_account_by_token(std::string const& bearer_token) const;

		// Returns the name of the region that contains a data centre, or the data centre's own name if no region does.
		[[nodiscard]] std::string region_of(data_centre_id const& data_centre) const;

	  private:
		policy::SealedPolicy sealed;
		platform_version published;
		std::map<std::string, policy::Service const*> services;
		std::map<std::string, policy::Pool const*> pools;
		std::map<std::string, policy::Account const*> accounts_by_token;
		std::map<std::string, std::string> regions;
	};

	// A published document that was refused, and why.
	struct refused_document
	{
		policy::Ancestor published;
		std::string reason;
	};

	// Decides which policy is in force. Whether a document comes into force depends only on the document and the
	// version that it was published as. All daemons therefore reach the same decision, even if they missed different
	// documents.
	class configuration
	{
	  public:
		explicit configuration(mechanism_set const& mechanisms);

		// Puts a document from the configuration service or from a peer into force, or refuses it. Ignores a document
		// that is not newer than the one in force. Returns true if the document is now in force.
		bool offer(platform_version version, policy::SealedPolicy document, event_context& context);

		// Refuses a published value that could not be parsed.
		void refuse_unreadable(platform_version version, std::string const& fault, event_context& context);

		// Handles a document or a delta from a peer. Returns true if the resulting document is now in force.
		bool handle(wire::ConfigPush const& push, event_context& context);

		// Returns the changes since the peer's document, or the whole document if the peer's document is not a known
		// delta base. Returns an empty push if the peer has the document in force or no policy is in force yet.
		[[nodiscard]] wire::ConfigPush const& answer(wire::ConfigPull const& pull);

		// Returns the policy in force, or a null pointer before the first.
		[[nodiscard]] std::shared_ptr<active_policy const> const& active() const noexcept
		{
			return this->current;
		}

		[[nodiscard]] platform_version version() const noexcept;
		[[nodiscard]] std::string digest() const;

		// Returns the latest refused documents with a higher version than the one in force, oldest first.
		[[nodiscard]] std::deque<refused_document> const& refused() const noexcept
		{
			return this->refusals;
		}

		// Returns when the policy in force was applied on this daemon.
		[[nodiscard]] time_point applied_at() const noexcept
		{
			return this->applied_time;
		}

	  private:
		[[nodiscard]] std::string reason_to_refuse(
			platform_version version, policy::SealedPolicy const& document) const;
		// base_version: the version that the document was sealed on, or 0 if the document is unreadable or invalid.
		// With 0, a later document may skip this version, as it may skip a version that was not published right after
		// the version it was sealed on.
		void refuse(platform_version version, std::uint64_t base_version, std::string reason, event_context& context);
		void keep_as_delta_base();

		mechanism_set const* mechanisms;
		std::shared_ptr<active_policy const> current;
		// Documents that were in force before, newest first; the possible bases of deltas.
		std::deque<std::shared_ptr<active_policy const>> previous_documents;
		std::deque<refused_document> refusals;
		// Answers to pulls, by the digest of the peer's document. Cached because most peers have the same document.
		std::map<std::string, wire::ConfigPush> pull_answers;
		time_point applied_time;
	};
}
