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
		std::vector<std::string> const& arguments, std::string const& log_path, std::vector<std::string> variables)
	{
		std::vector<char*> raw;
		std::ranges::transform(arguments, std::back_inserter(raw),
			[](std::string const& argument) { return const_cast<char*>(argument.c_str()); });
		raw.push_back(nullptr);
		this->id = fork();
		if (this->id == 0)
		{
			auto const log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
			dup2(log, STDOUT_FILENO);
			dup2(log, STDERR_FILENO);
			std::ranges::for_each(variables, [](std::string& each) { putenv(each.data()); });
			execv(raw.front(), raw.data());
			_exit(127);
		}
	}

	child_process::~child_process()
	{
		if (!this->exit_code())
		{
			this->signal(SIGKILL);
			waitpid(this->id, nullptr, 0);
		}
	}

	void child_process::signal(int number) const
	{
		if (!this->ended_with)
		{
			kill(this->id, number);
		}
	}

	std::optional<int> child_process::exit_code()
	{
		auto status = 0;
		if (!this->ended_with && waitpid(this->id, &status, WNOHANG) == this->id)
		{
			this->ended_with = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
		}
		return this->ended_with;
	}
}
