#pragma once

#include "world.hpp"

namespace review
{
	// The cases of this review. Each runs daemons and stand-ins and returns an exit code (see world.hpp).

	// Case "extra_answer": a server sends a second, late copy of its answer to the release of a reservation.
	[[nodiscard]] asio::awaitable<int> run_extra_answer(
		asio::io_context& loop, case_arguments const& arguments, record& lines);
	// Case "extra_refusal": a server sends a second, late copy of its refusal of a reservation.
	[[nodiscard]] asio::awaitable<int> run_extra_refusal(
		asio::io_context& loop, case_arguments const& arguments, record& lines);
	// Case "store_drill": the store comes back from a copy, and a configuration is written right afterwards.
	[[nodiscard]] asio::awaitable<int> run_store_drill(
		asio::io_context& loop, case_arguments const& arguments, record& lines);
	// Case "restarted_servers": servers start again under their ids with another version of their software.
	[[nodiscard]] asio::awaitable<int> run_restarted_servers(
		asio::io_context& loop, case_arguments const& arguments, record& lines);
	// Case "planned_stop": daemons are stopped and started in turn while clients send their requests slowly.
	[[nodiscard]] asio::awaitable<int> run_planned_stop(
		asio::io_context& loop, case_arguments const& arguments, record& lines);
}
