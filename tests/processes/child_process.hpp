#pragma once

#include <optional>
#include <string>
#include <vector>

namespace godwittrestle::testing
{
	// A child process that ends with its owner.
	class child_process
	{
	  public:
		// variables: "NAME=value", added to the environment.
		child_process(std::vector<std::string> const& arguments, std::string const& log_path,
			std::vector<std::string> variables = {});
		~child_process();

		child_process(child_process const&) = delete;
		child_process& operator=(child_process const&) = delete;
		child_process(child_process&&) = delete;
		child_process& operator=(child_process&&) = delete;

		void signal(int number) const;

		// Returns the exit code once the process has ended by itself; nothing while it runs.
		[[nodiscard]] std::optional<int> exit_code();

	  private:
		int id = -1;
		std::optional<int> ended_with;
	};
}
