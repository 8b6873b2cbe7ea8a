#pragma once

#include <godwittrestle/policy/document.hpp>
#include <godwittrestle/policy/sections.hpp>
#include <godwittrestle/policy/validate.hpp>
