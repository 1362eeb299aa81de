#pragma once

#include <stdexcept>
#include <string>

namespace vanillaspar
{

/** Base of every exception that this project throws. */
class Error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** A document or a setting is invalid; what() names the file, line and field. */
class DocumentError : public Error
{
public:
    using Error::Error;
};

/** A message from another process can't be decoded. */
class DecodeError : public Error
{
public:
    using Error::Error;
};

/** A socket or another resource of the operating system isn't available. */
class ResourceError : public Error
{
public:
    using Error::Error;
};

/** An argument is outside its documented range. */
class ArgumentError : public Error
{
public:
    using Error::Error;
};

}
