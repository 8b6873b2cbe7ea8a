#include <godwittrestle/policy/validate.hpp>

#include <algorithm>
#include <functional>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace godwittrestle::policy
{
	namespace
	{
		constexpr std::uint32_t max_priority = 9;
		constexpr std::uint32_t max_deadline_ms = 3'600'000;
		constexpr std::size_t sha256_hex_size = 64;

		// Collects the faults of a policy.
		class fault_list
		{
		  public:
			// Adds a fault unless the condition holds.
			void require(bool holds, std::string path, std::string message, std::string remedy)
			{
				if (!holds)
				{
					this->faults.push_back({std::move(path), std::move(message), std::move(remedy)});
				}
			}

			// Requires that the value is between minimum and maximum, both included.
			void require_range(std::string path, std::uint32_t value, std::uint32_t minimum, std::uint32_t maximum)
			{
				this->require(value >= minimum && value <= maximum, std::move(path),
					fmt::format("{} is out of range", value), fmt::format("give {} to {}", minimum, maximum));
			}

			// Requires that the name is well-formed and not yet in seen; adds it to seen.
			void require_name(std::string const& path, std::string_view name, std::set<std::string>& seen)
			{
				auto const allowed = [](char letter)
				{
					return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' || letter == '_';
				};
				this->require(!name.empty() && std::ranges::all_of(name, allowed), path,
					fmt::format("'{}' is not a name", name), "use letters, digits, '-' and '_'");
				this->require(seen.emplace(name).second, path, fmt::format("'{}' stands twice", name),
					"give each a name of its own");
			}

			// Moves the collected faults out.
			[[nodiscard]] std::vector<fault> take()
			{
				return std::move(this->faults);
			}

		  private:
			std::vector<fault> faults;
		};

		void check_pool(std::string const& path, Pool const& pool, fault_list& faults)
		{
			faults.require(PoolRole_IsValid(pool.role()) && pool.role() != POOL_ROLE_UNSPECIFIED, path + ".role",
				"the role is missing", "give PREFILL, DECODE or PLAIN");
			if (pool.role() == PLAIN)
			{
				return;
			}
			faults.require(!pool.model().empty(), path + ".model", "an engine pool needs a model",
				"name the model and version its engines shall load");
			if (pool.role() == DECODE)
			{
				faults.require_range(path + ".slots_per_server", pool.slots_per_server(), 1, 4096);
			}
			if (pool.role() == PREFILL)
			{
				faults.require_range(
					path + ".prefill_tokens_per_second", pool.prefill_tokens_per_second(), 1, 10'000'000);
				faults.require_range(path + ".kv_bytes_per_token", pool.kv_bytes_per_token(), 1, 100'000'000);
				faults.require_range(
					path + ".link_megabytes_per_second", pool.link_megabytes_per_second(), 1, 1'000'000);
				faults.require_range(path + ".prefill_retention_ms", pool.prefill_retention_ms(), 1, 600'000);
			}
		}

		void check_pool_reference(std::string const& path, std::string const& name, PoolRole role,
			RoutingPolicy const& policy, fault_list& faults)
		{
			auto const pool = std::ranges::find(policy.pools(), name, [](Pool const& each) { return each.name(); });
			faults.require(pool != policy.pools().end(), path, fmt::format("there is no pool '{}'", name),
				"name a pool of this document");
			if (pool != policy.pools().end())
			{
				faults.require(pool->role() == role, path,
					fmt::format("pool '{}' has the role {}", name, PoolRole_Name(pool->role())),
					fmt::format("name a pool with the role {}", PoolRole_Name(role)));
			}
		}

		void check_model_service(
			std::string const& path, Service const& service, RoutingPolicy const& policy, fault_list& faults)
		{
			check_pool_reference(path + ".prefill_pool", service.prefill_pool(), PREFILL, policy, faults);
			check_pool_reference(path + ".decode_pool", service.decode_pool(), DECODE, policy, faults);
			faults.require_range(path + ".first_token_target_ms", service.first_token_target_ms(), 1, max_deadline_ms);
			faults.require_range(path + ".token_gap_target_ms", service.token_gap_target_ms(), 1, max_deadline_ms);
			faults.require_range(
				path + ".patience_ms", service.patience_ms(), service.first_token_target_ms(), max_deadline_ms);
			faults.require_range(path + ".max_prompt_tokens", service.max_prompt_tokens(), 1, 10'000'000);
			faults.require_range(path + ".max_output_tokens", service.max_output_tokens(), 1, 1'000'000);
			faults.require(service.objective() == GOODPUT || service.objective() == WASTE, path + ".objective",
				"the objective is missing", "give GOODPUT or WASTE");
			faults.require(service.routes().empty(), path + ".routes", "a model service has no routes",
				"remove them or name a plain_pool");
		}

		void check_plain_service(
			std::string const& path, Service const& service, RoutingPolicy const& policy, fault_list& faults)
		{
			check_pool_reference(path + ".plain_pool", service.plain_pool(), PLAIN, policy, faults);
			faults.require(!service.routes().empty(), path + ".routes", "a plain service needs a route",
				"add a route with path_prefix \"/\"");
			for (int index = 0; index < service.routes_size(); ++index)
			{
				faults.require(service.routes(index).path_prefix().starts_with('/'),
					fmt::format("{}.routes[{}].path_prefix", path, index), "the prefix does not start with '/'",
					"begin it with '/'");
			}
		}

		void check_service(
			std::string const& path, Service const& service, RoutingPolicy const& policy, fault_list& faults)
		{
			auto const is_model = !service.prefill_pool().empty() || !service.decode_pool().empty();
			faults.require(is_model != !service.plain_pool().empty(), path,
				"a service has either a prefill_pool and a decode_pool or a plain_pool", "name one or the other");
			faults.require_range(path + ".priority", service.priority(), 0, max_priority);
			faults.require_range(path + ".deadline_ms", service.deadline_ms(), 1, max_deadline_ms);
			if (is_model)
			{
				check_model_service(path, service, policy, faults);
			}
			else
			{
				check_plain_service(path, service, policy, faults);
			}
		}

		void check_account(std::string const& path, Account const& account, fault_list& faults)
		{
			auto const& digest = account.token_sha256();
			auto const is_hex = [](char letter)
			{
				return std::isxdigit(static_cast<unsigned char>(letter)) != 0;
			};
			faults.require(digest.empty() || (digest.size() == sha256_hex_size && std::ranges::all_of(digest, is_hex)),
				path + ".token_sha256", "not a SHA-256", "give 64 hexadecimal digits, or leave it out");
			faults.require_range(path + ".requests_per_second", account.requests_per_second(), 1, 1'000'000);
			faults.require_range(path + ".concurrent_requests", account.concurrent_requests(), 1, 1'000'000);
		}

		// Checks the name of each element of a list, then the element itself. The path of an element is "list[index]".
		template <typename Elements, typename Check>
		void check_each(std::string_view list, Elements const& elements, fault_list& faults, Check const& check)
		{
			std::set<std::string> names;
			for (int index = 0; index < elements.size(); ++index)
			{
				auto const path = fmt::format("{}[{}]", list, index);
				faults.require_name(path + ".name", elements[index].name(), names);
				check(path, elements[index]);
			}
		}

		void check_regions(RoutingPolicy const& policy, fault_list& faults)
		{
			std::set<std::string> data_centres;
			check_each("regions", policy.regions(), faults,
				[&](std::string const& path, Region const& region)
				{
					for (int index = 0; index < region.data_centres_size(); ++index)
					{
						faults.require_name(
							fmt::format("{}.data_centres[{}]", path, index), region.data_centres(index), data_centres);
					}
				});
		}
	}

	std::vector<fault> validate(RoutingPolicy const& policy)
	{
		fault_list faults;
		check_regions(policy, faults);
		check_each("pools", policy.pools(), faults,
			[&](std::string const& path, Pool const& pool) { check_pool(path, pool, faults); });
		check_each("services", policy.services(), faults,
			[&](std::string const& path, Service const& service) { check_service(path, service, policy, faults); });
		check_each("accounts", policy.accounts(), faults,
			[&](std::string const& path, Account const& account) { check_account(path, account, faults); });
		faults.require(!policy.services().empty(), "services", "there is no service", "add at least one");
		faults.require(!policy.accounts().empty(), "accounts", "there is no account", "add at least one");
		return faults.take();
	}
}
