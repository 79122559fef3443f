#include "ctl/text_file.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace azuremoor
{

std::optional<std::string> readTextFile(const std::string &name)
{
    std::ostringstream content;
    if (name == "-") {
        content << std::cin.rdbuf();
        return content.str();
    }
    std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    content << file.rdbuf();
    return content.str();
}

}
