#include "child_process.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iterator>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace godwittrestle::testing
{
	child_process::child_process(
		std::vector<std::string> const& arguments, std::string const& log_path, std::vector<std::string> environment)
	{
		std::vector<char*> argument_pointers;
		std::ranges::transform(arguments, std::back_inserter(argument_pointers),
			[](std::string const& argument) { return const_cast<char*>(argument.c_str()); });
		argument_pointers.push_back(nullptr);
		this->process_id = fork();
		if (this->process_id == 0)
		{
			auto const log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
			dup2(log, STDOUT_FILENO);
			dup2(log, STDERR_FILENO);
			std::ranges::for_each(environment, [](std::string& each) { putenv(each.data()); });
			execv(argument_pointers.front(), argument_pointers.data());
			_exit(127);
		}
	}

	child_process::~child_process()
	{
		if (!this->exit_code())
		{
			this->signal(SIGKILL);
			waitpid(this->process_id, nullptr, 0);
		}
	}

	void child_process::signal(int number) const
	{
		if (!this->final_status)
		{
			kill(this->process_id, number);
		}
	}

	std::optional<int> child_process::exit_code()
	{
		auto status = 0;
		if (!this->final_status && waitpid(this->process_id, &status, WNOHANG) == this->process_id)
		{
			this->final_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
		}
		return this->final_status;
	}
}
