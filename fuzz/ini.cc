// Fuzzes settings and configuration files.

#include <jasminehatch/codec.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace jasminehatch;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  try {
    const auto document = codec::IniDocument::Parse(text, "input");
    try {
      codec::DaemonSettings::Read(document);
    } catch (const SettingsError&) {
      // The daemon does not start; the message names file and line.
    }
    codec::Configuration::FromEntries(codec::ToConfigEntries(document));
  } catch (const SettingsError&) {
    // The change is not published.
  }
  return 0;
}
