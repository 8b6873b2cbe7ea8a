#pragma once

namespace godwittrestle::daemon
{
	class application;
	class backend_link;
	class caller_face;
	class core_loop;
	class operator_face;
	class peer_link;
	class platform_link;
	class telemetry;

	struct daemon_settings;
}
