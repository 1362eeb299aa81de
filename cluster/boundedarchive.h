#pragma once

#include "core/error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace vanillaspar
{

/**
 * Input archive for the format of cereal::PortableBinaryOutputArchive that checks sizes against the input.
 *
 * cereal's own input archive allocates whatever container size the input states, so a few damaged bytes could make it
 * allocate gigabytes. This one refuses a size that is larger than the number of bytes left.
 */
class BoundedArchive : public cereal::InputArchive<BoundedArchive, cereal::AllowEmptyClassElision>
{
public:
    /**
     * @param input the encoded bytes; they have to outlive the archive.
     * @throws DecodeError if the input doesn't start with the mark for little-endian byte order.
     */
    explicit BoundedArchive(std::string_view input) : InputArchive(this), m_rest(input)
    {
        uint8_t isLittleEndian = 0;
        read(&isLittleEndian, sizeof(isLittleEndian));
        if (isLittleEndian != 1) {
            throw DecodeError("frame is not in little-endian byte order");
        }
    }

    /**
     * Copies the next bytes of the input and moves past them.
     *
     * @param to where the bytes go.
     * @param length number of bytes.
     * @throws DecodeError if fewer bytes are left.
     */
    void read(void *to, size_t length)
    {
        if (length > m_rest.size()) {
            throw DecodeError("frame is truncated");
        }
        if (length == 0) {
            return; // an empty container has no address to copy to
        }
        std::memcpy(to, m_rest.data(), length);
        m_rest.remove_prefix(length);
    }

    /**
     * Checks the size of a container before it is allocated; every element takes at least one byte.
     *
     * @param count number of elements that the input states.
     * @throws DecodeError if fewer than @p count bytes are left.
     */
    void checkCount(uint64_t count) const
    {
        if (count > m_rest.size()) {
            throw DecodeError("size of " + std::to_string(count) + " in a frame with " + std::to_string(m_rest.size())
                              + " bytes left");
        }
    }

private:
    std::string_view m_rest;
};

// Extension points that cereal calls to read each kind of value; cereal prescribes their names.
template<class T>
std::enable_if_t<std::is_arithmetic<T>::value, void> CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &archive, T &value)
{
    archive.read(std::addressof(value), sizeof(value));
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &archive, cereal::SizeTag<T> &tag)
{
    uint64_t count = 0;
    archive.read(&count, sizeof(count));
    archive.checkCount(count);
    tag.size = static_cast<std::remove_reference_t<decltype(tag.size)>>(count);
}

template<class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedArchive &archive, cereal::BinaryData<T> &data)
{
    archive.read(data.data, static_cast<size_t>(data.size));
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

}

CEREAL_REGISTER_ARCHIVE(vanillaspar::BoundedArchive)

namespace cereal::traits::detail
{

// Names the output archive that belongs to this input archive, which cereal needs to look up serialization functions.
// The reverse mapping is already taken by cereal's own input archive.
template<>
struct get_output_from_input<vanillaspar::BoundedArchive>
{
    using type = cereal::PortableBinaryOutputArchive;
};

}
