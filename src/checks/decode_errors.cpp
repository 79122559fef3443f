#include "checks/decode_errors.h"

#include <nlohmann/json.hpp>

#include "configuration/configuration.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

/// Errors after which no more are reported.
constexpr std::size_t MAX_ERRORS = 100;

finding errorAt(std::string path, std::string reason)
{
    return {finding_severity::error, std::move(path), std::nullopt, std::move(reason), {}};
}

/// Decodes parts of a document one by one, so that a wrong part does not hide the ones after it.
class part_decoder
{
public:
    std::vector<finding> takeErrors()
    {
        return std::move(m_errors);
    }

    void decodeSections(const json &document)
    {
        for (const auto &[name, section] : document.items()) {
            decodeSection(name, section);
        }
    }

private:
    void decodeSection(const std::string &name, const json &section)
    {
        const std::size_t before = m_errors.size();
        if (section.is_array()) {
            for (std::size_t index = 0; index < section.size(); ++index) {
                decodeElement(name, index, section[index]);
            }
        } else if (section.is_object()) {
            for (const auto &[key, entry] : section.items()) {
                decode({{name, {{key, entry}}}}, {}, {});
            }
        }
        if (m_errors.size() == before) {
            decode({{name, section}}, {}, {});
        }
    }

    void decodeElement(const std::string &name, std::size_t index, const json &element)
    {
        const std::string decodedPath = "/" + name + "/0";
        decode({{name, json::array({element})}}, decodedPath, "/" + name + "/" + std::to_string(index));
    }

    /// Records the error of the part, if it has one, with the beginning of its location replaced.
    void decode(const json &part, const std::string &decodedPath, const std::string &path)
    {
        if (m_errors.size() >= MAX_ERRORS) {
            return;
        }
        const auto decoded = configuration::parse(part);
        if (decoded) {
            return;
        }
        const std::string &location = decoded.error().location;
        const bool isInside = !decodedPath.empty() && location.starts_with(decodedPath);
        const std::string place = isInside ? path + location.substr(decodedPath.size()) : location;
        // An unknown section is refused once for each of its entries.
        if (m_errors.empty() || m_errors.back().path != place) {
            m_errors.push_back(errorAt(place, decoded.error().reason));
        }
    }

    std::vector<finding> m_errors;
};

}

std::vector<finding> findDecodeErrors(std::string_view text)
{
    const auto whole = configuration::parseText(text);
    if (whole) {
        return {};
    }
    part_decoder decoder;
    const json document = json::parse(text, nullptr, /*allow_exceptions=*/false, /*ignore_comments=*/true);
    // The limits of size and depth are those of the whole document.
    if (document.is_object() && whole.error().location != "/") {
        decoder.decodeSections(document);
    }
    std::vector<finding> errors = decoder.takeErrors();
    if (errors.empty()) {
        errors.push_back(errorAt(whole.error().location, whole.error().reason));
    }
    return errors;
}

}
