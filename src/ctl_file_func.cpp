#include "ctl_file_func.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace hickory {

Result<std::string> readWholeFile(const std::string& path)
{
    std::ifstream file;
    if (path != "-")
        file.open(path, std::ios::binary);
    std::istream& source = path == "-" ? std::cin : file;
    std::string content { std::istreambuf_iterator<char>(source), std::istreambuf_iterator<char>() };
    if (source.bad() || (path != "-" && !file.is_open()))
        return Error {
            .code = make_error_code(ErrorCode::NotFound), .step = "read-file", .peer = path, .detail = "cannot be read"
        };
    return content;
}

} // namespace hickory
