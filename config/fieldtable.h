#pragma once

#include "core/error.h"
#include "core/quantity.h"
#include "core/stringid.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

namespace vanillaspar
{

// readValue() converts a JSON value to a member of a record, writeValue() does the reverse. readValue() throws
// nlohmann::json::exception or DocumentError if the value has the wrong type.
inline void readValue(const nlohmann::json &from, std::string &to)
{
    to = from.get<std::string>();
}
inline void readValue(const nlohmann::json &from, int64_t &to)
{
    if (!from.is_number_integer()) {
        throw DocumentError("must be a whole number");
    }
    to = from.get<int64_t>();
}
inline void readValue(const nlohmann::json &from, double &to)
{
    if (!from.is_number()) {
        throw DocumentError("must be a number");
    }
    to = from.get<double>();
}
inline void readValue(const nlohmann::json &from, bool &to)
{
    to = from.get<bool>();
}
template<class Unit>
void readValue(const nlohmann::json &from, Quantity<Unit> &to)
{
    readValue(from, to.value);
}
template<class Kind>
void readValue(const nlohmann::json &from, StringId<Kind> &to)
{
    to = StringId<Kind>(from.get<std::string>());
}
template<class Kind>
void readValue(const nlohmann::json &from, std::vector<StringId<Kind>> &to)
{
    to.clear();
    for (const std::string &text : from.get<std::vector<std::string>>()) {
        to.emplace_back(text);
    }
}

template<class T>
nlohmann::json writeValue(const T &from)
{
    return from;
}
template<class Unit>
nlohmann::json writeValue(const Quantity<Unit> &from)
{
    return from.value;
}
template<class Kind>
nlohmann::json writeValue(const StringId<Kind> &from)
{
    return from.text();
}
template<class Kind>
nlohmann::json writeValue(const std::vector<StringId<Kind>> &from)
{
    nlohmann::json list = nlohmann::json::array();
    for (const StringId<Kind> &id : from) {
        list.push_back(id.text());
    }
    return list;
}

/**
 * Converts a struct to and from JSON by a table that maps field names to member pointers.
 *
 * @tparam Record the struct.
 * @tparam Members the types of the member pointers in the table, each listed once.
 */
template<class Record, class... Members>
class FieldTable
{
public:
    struct Field
    {
        const char *name; ///< Name in JSON.
        std::variant<Members...> member;
        bool isRequired; ///< Whether read() refuses an object without the field.
    };

    explicit FieldTable(std::vector<Field> fields) : m_fields(std::move(fields))
    {
    }

    /**
     * @param from a JSON object.
     * @param where JSON pointer of the record for error messages, such as "/teams/0".
     * @return the record; members that the object leaves out keep their defaults.
     * @throws DocumentError if a field is unknown, missing or of the wrong type.
     */
    Record read(const nlohmann::json &from, const std::string &where) const
    {
        if (!from.is_object()) {
            throw DocumentError(where + ": must be a mapping");
        }
        checkNames(from, where);
        Record record;
        for (const Field &field : m_fields) {
            const auto found = from.find(field.name);
            if (found != from.end()) {
                readField(*found, field, where, record);
            } else if (field.isRequired) {
                throw DocumentError(where + "/" + field.name + ": is missing");
            }
        }
        return record;
    }

    /**
     * Reads a record from an object that has other fields as well, and removes the record's fields from the object.
     *
     * @param from a JSON object.
     * @param where JSON pointer of the record for error messages.
     * @throws DocumentError as read() does.
     */
    Record extract(nlohmann::json &from, const std::string &where) const
    {
        nlohmann::json own = nlohmann::json::object();
        for (const Field &field : m_fields) {
            const auto found = from.find(field.name);
            if (found != from.end()) {
                own[field.name] = std::move(*found);
                from.erase(found);
            }
        }
        return read(own, where);
    }

    /** @return the record as a JSON object with every field. */
    nlohmann::json write(const Record &record) const
    {
        nlohmann::json object = nlohmann::json::object();
        for (const Field &field : m_fields) {
            std::visit(
                [&](auto member) {
                    object[field.name] = writeValue(record.*member);
                },
                field.member);
        }
        return object;
    }

private:
    void checkNames(const nlohmann::json &from, const std::string &where) const
    {
        for (const auto &item : from.items()) {
            const bool isKnown = std::any_of(m_fields.begin(), m_fields.end(), [&](const Field &field) {
                return item.key() == field.name;
            });
            if (!isKnown) {
                throw DocumentError(where + "/" + item.key() + ": is not a known field");
            }
        }
    }

    static void readField(const nlohmann::json &from, const Field &field, const std::string &where, Record &record)
    {
        try {
            std::visit(
                [&](auto member) {
                    readValue(from, record.*member);
                },
                field.member);
        } catch (const nlohmann::json::exception &) {
            throw DocumentError(where + "/" + field.name + ": has the wrong type");
        } catch (const DocumentError &error) {
            throw DocumentError(where + "/" + field.name + ": " + error.what());
        }
    }

    std::vector<Field> m_fields;
};

}
