#pragma once

namespace godwittrestle::decide
{
	class cancellations;
	class cell_owner;
	class completions;
	class configuration;
	class core;
	class keyed_calls;
	class lease_queue;
	class limits;
	class membership;
	class plain_calls;
	class event_context;

	struct cell;
	struct core_settings;
	struct hooks;
	struct instance_list;
	struct load_report;
}
