#pragma once

namespace godwittrestle::daemon
{
	class application;
	class backend_link;
	class caller_api;
	class core_loop;
	class operator_api;
	class peer_link;
	class platform_link;
	class telemetry;

	struct daemon_settings;
}
