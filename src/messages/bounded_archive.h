#ifndef AZUREMOOR_MESSAGES_BOUNDED_ARCHIVE_H
#define AZUREMOOR_MESSAGES_BOUNDED_ARCHIVE_H

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include <cereal/cereal.hpp>

namespace azuremoor
{

/// Longest short text in a message, such as a name or a label value, in bytes.
constexpr std::size_t MAX_NAME_BYTES = 256;

/// Longest task payload or answer, in bytes.
constexpr std::size_t MAX_PAYLOAD_BYTES = 256 * 1024;

/// Longest list in a message, in elements.
constexpr std::size_t MAX_LIST_LENGTH = 8192;

/// Archives the length of a sequence. Throws cereal::Exception when a received length is over the limit, before anything is allocated.
template<typename Archive>
std::uint32_t archiveLength(Archive &archive, std::size_t length, std::size_t limit)
{
    auto value = static_cast<std::uint32_t>(length);
    archive(value);
    if (value > limit) {
        throw cereal::Exception("length over the limit");
    }
    return value;
}

/// Archives a text of bounded length.
template<std::size_t Limit = MAX_NAME_BYTES, typename Archive>
void archiveText(Archive &archive, std::string &text)
{
    const std::uint32_t length = archiveLength(archive, text.size(), Limit);
    if constexpr (Archive::is_loading::value) {
        text.resize(length);
    }
    archive(cereal::binary_data(text.data(), length));
}

/// Archives a list of bounded length. Elements are read one by one, so that a hostile length costs no memory of its own.
template<std::size_t Limit = MAX_LIST_LENGTH, typename Archive, typename Element>
void archiveList(Archive &archive, std::vector<Element> &elements)
{
    const std::uint32_t length = archiveLength(archive, elements.size(), Limit);
    if constexpr (Archive::is_loading::value) {
        elements.clear();
        for (std::uint32_t index = 0; index < length; ++index) {
            Element element{};
            archive(element);
            elements.push_back(std::move(element));
        }
    } else {
        for (Element &element : elements) {
            archive(element);
        }
    }
}

/// Archives a list of names of bounded length.
template<typename Archive>
void archiveNames(Archive &archive, std::vector<std::string> &names)
{
    names.resize(archiveLength(archive, names.size(), MAX_LIST_LENGTH));
    for (std::string &name : names) {
        archiveText(archive, name);
    }
}

/// Archives a flag. Throws cereal::Exception for a received value other than 0 and 1.
template<typename Archive>
void archiveBool(Archive &archive, bool &flag)
{
    auto number = static_cast<std::uint8_t>(flag);
    archive(number);
    if (number > 1) {
        throw cereal::Exception("not a flag");
    }
    flag = number == 1;
}

/// Archives an enumeration whose last enumerator is given. Throws cereal::Exception for a received value beyond it.
template<typename Archive, typename Enumeration>
void archiveEnumeration(Archive &archive, Enumeration &value, Enumeration last)
{
    auto number = static_cast<std::uint8_t>(value);
    archive(number);
    if (number > static_cast<std::uint8_t>(last)) {
        throw cereal::Exception("unknown enumerator");
    }
    value = static_cast<Enumeration>(number);
}

}

#endif
