#include "checks/check_report.h"

#include <algorithm>
#include <sstream>

namespace azuremoor
{

namespace
{

using nlohmann::json;

std::string severityName(finding_severity severity)
{
    return severity == finding_severity::error ? "error" : "warning";
}

/// Returns text with control characters as JSON escapes it; other text is returned as it is.
std::string oneLine(const std::string &text)
{
    const std::string quoted = json(text).dump(-1, ' ', false, json::error_handler_t::replace);
    const bool isPlain = std::none_of(text.begin(), text.end(), [](unsigned char character) { return character < ' '; });
    return isPlain ? text : quoted.substr(1, quoted.size() - 2);
}

std::string placeOf(const finding &found)
{
    if (found.position) {
        return std::to_string(found.position->line) + ":" + std::to_string(found.position->column);
    }
    return found.path;
}

std::string valueText(const std::optional<json> &value)
{
    return value ? value->dump(-1, ' ', false, json::error_handler_t::replace) : "absent";
}

json findingJson(const finding &found)
{
    json result = {{"severity", severityName(found.severity)}, {"problem", found.problem}};
    if (!found.remedy.empty()) {
        result["expected"] = found.remedy;
    }
    if (found.position) {
        result["line"] = found.position->line;
        result["column"] = found.position->column;
    } else {
        result["path"] = found.path;
    }
    return result;
}

json differenceJson(const field_difference &difference)
{
    json result = {{"entry", difference.entry}, {"field", difference.field}};
    if (difference.before) {
        result["before"] = *difference.before;
    }
    if (difference.after) {
        result["after"] = *difference.after;
    }
    return result;
}

void writeDifferences(const check_report &report, std::ostream &out)
{
    if (!report.comparedVersion) {
        return;
    }
    out << "against version " << *report.comparedVersion << ":" << (report.differences.empty() ? " no difference" : "") << "\n";
    for (const field_difference &each : report.differences) {
        out << "  " << oneLine(each.entry) << (each.field.empty() ? "" : ", " + oneLine(each.field)) << ": " << valueText(each.before)
            << " -> " << valueText(each.after) << "\n";
    }
}

}

check_status statusOf(const check_report &report)
{
    check_status status = check_status::clean;
    for (const finding &each : report.findings) {
        status = std::max(status, each.severity == finding_severity::error ? check_status::errors : check_status::warnings);
    }
    return status;
}

std::string renderText(const check_report &report)
{
    std::ostringstream out;
    for (const finding &each : report.findings) {
        out << report.file << ":" << oneLine(placeOf(each)) << ": " << severityName(each.severity) << ": " << oneLine(each.problem);
        out << (each.remedy.empty() ? "" : "; expected: " + oneLine(each.remedy)) << "\n";
    }
    if (report.findings.empty()) {
        out << report.file << ": no findings\n";
    }
    writeDifferences(report, out);
    return out.str();
}

json renderJson(const check_report &report)
{
    json result = {{"file", report.file}, {"findings", json::array()}};
    for (const finding &each : report.findings) {
        result["findings"].push_back(findingJson(each));
    }
    if (report.comparedVersion) {
        result["compared_version"] = *report.comparedVersion;
        result["differences"] = json::array();
        for (const field_difference &each : report.differences) {
            result["differences"].push_back(differenceJson(each));
        }
    }
    return result;
}

}
