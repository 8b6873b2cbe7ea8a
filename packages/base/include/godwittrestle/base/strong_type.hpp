#pragma once

#include <compare>
#include <concepts>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace godwittrestle
{
	// A string with its own type for each tag, so that ids of different kinds can't be confused.
	//
	//     using server_id = strong_string<struct server_id_tag>;
	//     server_id const id{"prefill-1"};
	template <typename Tag>
	class strong_string
	{
	  public:
		strong_string() = default;

		explicit strong_string(std::string value) noexcept
			: text(std::move(value))
		{
		}

		[[nodiscard]] std::string const& str() const noexcept
		{
			return this->text;
		}

		[[nodiscard]] bool empty() const noexcept
		{
			return this->text.empty();
		}

		[[nodiscard]] auto operator<=>(strong_string const&) const = default;

	  private:
		std::string text;
	};

	// An integer with its own type for each tag. Values of one type can be added, subtracted and compared; values of
	// different types can't be combined.
	template <typename Tag, std::integral Rep>
	class strong_count
	{
	  public:
		constexpr strong_count() noexcept = default;

		constexpr explicit strong_count(Rep value) noexcept
			: number(value)
		{
		}

		[[nodiscard]] constexpr Rep count() const noexcept
		{
			return this->number;
		}

		[[nodiscard]] constexpr auto operator<=>(strong_count const&) const noexcept = default;

		constexpr strong_count& operator+=(strong_count other) noexcept
		{
			this->number += other.number;
			return *this;
		}

		constexpr strong_count& operator-=(strong_count other) noexcept
		{
			this->number -= other.number;
			return *this;
		}

		[[nodiscard]] friend constexpr strong_count operator+(strong_count left, strong_count right) noexcept
		{
			return left += right;
		}

		[[nodiscard]] friend constexpr strong_count operator-(strong_count left, strong_count right) noexcept
		{
			return left -= right;
		}

	  private:
		Rep number = 0;
	};
}

template <typename Tag>
struct std::hash<godwittrestle::strong_string<Tag>>
{
	[[nodiscard]] std::size_t operator()(godwittrestle::strong_string<Tag> const& id) const noexcept
	{
		return std::hash<std::string_view>{}(id.str());
	}
};
