#include <godwittrestle/decide/key_table.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

#include <godwittrestle/base/digest.hpp>

namespace godwittrestle::decide
{
	namespace
	{
		constexpr std::size_t mac_digits = 32;
		constexpr std::size_t key_fields = 6;
		constexpr std::string_view key_version = "k1";
		// Maximum number of finished calls whose fingerprint and answer are kept. Of older calls only the state is
		// kept.
		constexpr std::size_t max_records = 20'000;

		std::string text_without_mac(key_parts const& key)
		{
			return fmt::format(
				"{}~{}~{}~{}~{}", key_version, key.issuer.str(), key.started.count(), key.sequence, key.expires);
		}
	}

	std::optional<key_parts> parse_key(std::string_view key)
	{
		std::array<std::string_view, key_fields> fields;
		for (auto& field : fields)
		{
			auto const end = key.find('~');
			field = key.substr(0, end);
			key = end == std::string_view::npos ? std::string_view{} : key.substr(end + 1);
		}
		auto const started = parse_number(fields[2]);
		auto const sequence = parse_number(fields[3]);
		auto const expires = parse_number(fields[4]);
		if (fields[0] != key_version || fields[1].empty() || !started || !sequence || !expires || !key.empty() ||
			fields[5].size() != mac_digits)
		{
			return std::nullopt;
		}
		return key_parts{
			instance_id(std::string(fields[1])), incarnation(*started), *sequence, *expires, std::string(fields[5])};
	}

	key_table::key_table(instance_id issuer_id, incarnation since, std::string mac_secret, byte_count answer_budget)
		: issued_by(std::move(issuer_id))
		, issuer_started(since)
		, secret(std::move(mac_secret))
		, budget(answer_budget)
	{
	}

	std::string key_table::issue(account_id const& account, time_point expires)
	{
		key_parts key;
		key.issuer = this->issued_by;
		key.started = this->issuer_started;
		key.sequence = this->states.size();
		key.expires = static_cast<std::uint64_t>(expires.time_since_epoch().count());
		this->states.push_back(state::unused);
		return fmt::format("{}~{}", text_without_mac(key), this->mac_of(key, account));
	}

	bool key_table::is_genuine(key_parts const& key, account_id const& account) const
	{
		return key.issuer == this->issued_by && key.started == this->issuer_started &&
			   key.sequence < this->states.size() && equal_constant_time(key.mac, this->mac_of(key, account));
	}

	key_table::state key_table::state_of(std::uint64_t sequence) const noexcept
	{
		return sequence < this->states.size() ? this->states[sequence] : state::voided;
	}

	void key_table::begin(std::uint64_t sequence, std::uint64_t fingerprint)
	{
		this->states.at(sequence) = state::running;
		this->records[sequence].fingerprint = fingerprint;
	}

	void key_table::finish(std::uint64_t sequence, wire::KeyedOutcome result)
	{
		auto const is_not_run = result.outcome() == wire::KeyedOutcome::NOT_RUN;
		this->states.at(sequence) = is_not_run ? state::voided : state::finished;
		this->held += byte_count(result.body().size());
		this->records[sequence].result = std::move(result);
		this->answers.push_back(sequence);
		this->drop_old_answers();
	}

	void key_table::forget(std::uint64_t sequence)
	{
		this->states.at(sequence) = state::unused;
		this->records.erase(sequence);
	}

	wire::KeyedOutcome key_table::result_of(std::uint64_t sequence) const
	{
		if (auto const found = this->records.find(sequence); found != this->records.end())
		{
			return found->second.result;
		}
		wire::KeyedOutcome result;
		auto const is_voided = this->state_of(sequence) == state::voided;
		result.set_outcome(is_voided ? wire::KeyedOutcome::NOT_RUN : wire::KeyedOutcome::RAN);
		result.set_answer_dropped(!is_voided);
		return result;
	}

	bool key_table::is_mismatch(std::uint64_t sequence, std::uint64_t fingerprint) const
	{
		auto const found = this->records.find(sequence);
		return found != this->records.end() && found->second.fingerprint != fingerprint;
	}

	wire::KeyTableMove key_table::export_table() const
	{
		wire::KeyTableMove moved;
		moved.set_issuer(this->issued_by.str());
		moved.set_incarnation(this->issuer_started.count());
		moved.set_secret(this->secret);
		moved.set_issued(this->states.size());
		for (std::uint64_t sequence = 0; sequence < this->states.size(); ++sequence)
		{
			if (this->states[sequence] == state::unused)
			{
				continue;
			}
			auto& entry = *moved.add_used();
			entry.set_sequence(sequence);
			*entry.mutable_result() = this->result_of(sequence);
			if (auto const found = this->records.find(sequence); found != this->records.end())
			{
				entry.set_fingerprint(found->second.fingerprint);
			}
		}
		return moved;
	}

	key_table key_table::import_table(wire::KeyTableMove const& moved, byte_count answer_budget)
	{
		key_table table(instance_id(moved.issuer()), incarnation(moved.incarnation()), moved.secret(), answer_budget);
		table.states.resize(moved.issued(), state::unused);
		for (auto const& entry : moved.used())
		{
			if (entry.sequence() >= table.states.size())
			{
				continue;
			}
			table.begin(entry.sequence(), entry.fingerprint());
			table.finish(entry.sequence(), entry.result());
		}
		return table;
	}

	std::string key_table::mac_of(key_parts const& key, account_id const& account) const
	{
		return hmac_sha256_hex(this->secret, text_without_mac(key) + account.str()).substr(0, mac_digits);
	}

	void key_table::drop_old_answers()
	{
		while (!this->answers.empty() && (this->held > this->budget || this->answers.size() > max_records))
		{
			auto const oldest = this->records.find(this->answers.front());
			this->answers.pop_front();
			if (oldest != this->records.end())
			{
				this->held -= byte_count(oldest->second.result.body().size());
				// The state of a key can express only RAN and NOT_RUN, so a record with the outcome UNKNOWN is kept.
				if (oldest->second.result.outcome() == wire::KeyedOutcome::UNKNOWN)
				{
					continue;
				}
				this->records.erase(oldest);
			}
		}
	}
}
