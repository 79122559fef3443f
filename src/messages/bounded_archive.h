#ifndef AZUREMOOR_MESSAGES_BOUNDED_ARCHIVE_H
#define AZUREMOOR_MESSAGES_BOUNDED_ARCHIVE_H

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include <cereal/cereal.hpp>

namespace azuremoor
{

/// Maximum size of a short text in a message, such as a name or a label value, in bytes.
constexpr std::size_t MAX_NAME_BYTES = 256;

/// Maximum size of a task payload or of an answer, in bytes.
constexpr std::size_t MAX_PAYLOAD_BYTES = 256 * 1024;

/// Default maximum length of a list in a message, in elements.
constexpr std::size_t MAX_LIST_LENGTH = 8192;

/// Serializes or deserializes the length of a text or list. Throws cereal::Exception if the length exceeds the limit. While reading,
/// the check comes before any memory is allocated for the elements.
template<typename Archive>
std::uint32_t archiveLength(Archive &archive, std::size_t length, std::size_t limit)
{
    auto value = static_cast<std::uint32_t>(length);
    archive(value);
    if (value > limit) {
        throw cereal::Exception("length exceeds the limit");
    }
    return value;
}

/// Serializes or deserializes a text of at most Limit bytes. Throws cereal::Exception if it is longer.
template<std::size_t Limit = MAX_NAME_BYTES, typename Archive>
void archiveText(Archive &archive, std::string &text)
{
    const std::uint32_t length = archiveLength(archive, text.size(), Limit);
    if constexpr (Archive::is_loading::value) {
        text.resize(length);
    }
    archive(cereal::binary_data(text.data(), length));
}

/// Serializes or deserializes a list of at most Limit elements. Throws cereal::Exception if it is longer. Elements are read one by one
/// without reserving memory first, so that a forged length alone cannot cause a large allocation.
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

/// Serializes or deserializes a list of at most MAX_LIST_LENGTH texts of at most MAX_NAME_BYTES each. Throws cereal::Exception if a
/// limit is exceeded.
template<typename Archive>
void archiveNames(Archive &archive, std::vector<std::string> &names)
{
    names.resize(archiveLength(archive, names.size(), MAX_LIST_LENGTH));
    for (std::string &name : names) {
        archiveText(archive, name);
    }
}

/// Serializes or deserializes a Boolean as one byte. Throws cereal::Exception if a received byte is neither 0 nor 1.
template<typename Archive>
void archiveBool(Archive &archive, bool &flag)
{
    auto number = static_cast<std::uint8_t>(flag);
    archive(number);
    if (number > 1) {
        throw cereal::Exception("Boolean is neither 0 nor 1");
    }
    flag = number == 1;
}

/// Serializes or deserializes an enumeration as one byte. `last` is its highest enumerator; throws cereal::Exception if a received value
/// is higher.
template<typename Archive, typename Enumeration>
void archiveEnumeration(Archive &archive, Enumeration &value, Enumeration last)
{
    auto number = static_cast<std::uint8_t>(value);
    archive(number);
    if (number > static_cast<std::uint8_t>(last)) {
        throw cereal::Exception("enumeration value is out of range");
    }
    value = static_cast<Enumeration>(number);
}

}

#endif
