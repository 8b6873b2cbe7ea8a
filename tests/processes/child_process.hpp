#pragma once

#include <optional>
#include <string>
#include <vector>

namespace godwittrestle::testing
{
	// A child process. The destructor kills it with SIGKILL if it still runs.
	class child_process
	{
	  public:
		// Starts the program arguments[0] with its output appended to the file at log_path. variables: environment
		// variables to add, each "NAME=value". The child exits with code 127 if the program can't be executed.
		child_process(std::vector<std::string> const& arguments, std::string const& log_path,
			std::vector<std::string> environment = {});
		~child_process();

		child_process(child_process const&) = delete;
		child_process& operator=(child_process const&) = delete;
		child_process(child_process&&) = delete;
		child_process& operator=(child_process&&) = delete;

		[[nodiscard]] int id() const noexcept
		{
			return this->process_id;
		}

		// Sends a signal, unless exit_code has already returned the end of the process.
		void signal(int number) const;

		// Returns the exit code, or the negative number of the signal that ended the process; std::nullopt while the
		// process runs.
		[[nodiscard]] std::optional<int> exit_code();

	  private:
		int process_id = -1;
		std::optional<int> final_status;
	};
}
