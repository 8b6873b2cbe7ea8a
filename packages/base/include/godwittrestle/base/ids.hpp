#pragma once

#include <cstdint>

#include <godwittrestle/base/strong_type.hpp>

namespace godwittrestle
{
	// A daemon's id in the platform's instance list.
	using instance_id = strong_string<struct instance_id_tag>;
	// Id of a backend server: a prefill engine, a decode engine or a server of a plain service.
	using server_id = strong_string<struct server_id_tag>;
	using data_centre_id = strong_string<struct data_centre_id_tag>;
	using service_id = strong_string<struct service_id_tag>;
	using pool_id = strong_string<struct pool_id_tag>;
	using account_id = strong_string<struct account_id_tag>;
	// SHA-256 digest of a key by which a caller shows its account, in hexadecimal digits.
	using key_digest = strong_string<struct key_digest_tag>;
	// Id of one request of a caller; unique across all daemons and their restarts (see make_request_id).
	using request_id = strong_string<struct request_id_tag>;
	using cell_id = strong_string<struct cell_id_tag>;

	// Version of a backend server's software. Versions have no order.
	using software_version = strong_string<struct software_version_tag>;

	// Distinguishes the starts of one instance; a later start has a larger number.
	using incarnation = strong_count<struct incarnation_tag, std::uint64_t>;
	// Version of a value in the configuration service.
	using platform_version = strong_count<struct platform_version_tag, std::uint64_t>;
	// Id of one call to a backend server; unique within a daemon.
	using call_id = strong_count<struct call_id_tag, std::uint64_t>;
	// Hash of a part of a request. It identifies the part without showing what the caller sent.
	using fingerprint = strong_count<struct fingerprint_tag, std::uint64_t>;
}
