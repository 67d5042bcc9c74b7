#include "jasminehatch/detail/ini/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

#include "jasminehatch/detail/base/exception.h"

namespace jasminehatch::codec {
namespace {

std::string_view Trim(std::string_view text) {
  const auto is_space = [](char c) {
    return c == ' ' || c == '\t' || c == '\r';
  };
  while (!text.empty() && is_space(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && is_space(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

/// Collects the entries in file order. inih reports no line numbers; they are
/// found afterwards by a scan of the text.
struct Collector {
  std::vector<std::pair<std::string, IniEntry>> entries;
};

int OnEntry(void* user,
            const char* section,
            const char* name,
            const char* value) {
  auto& collector = *static_cast<Collector*>(user);
  collector.entries.push_back(
      {section, {name, value == nullptr ? "" : value, 0}});
  return 1;
}

}  // namespace

const IniEntry* IniSection::Find(std::string_view key) const {
  const auto entry = std::find_if(
      entries.begin(), entries.end(),
      [key](const IniEntry& candidate) { return candidate.key == key; });
  return entry == entries.end() ? nullptr : &*entry;
}

std::string IniDocument::Location(int line) const {
  return file + ":" + std::to_string(line);
}

IniDocument IniDocument::Parse(std::string_view text, std::string file) {
  IniDocument document;
  document.file = std::move(file);
  Collector collector;
  const int bad_line =
      ini_parse_string(std::string(text).c_str(), &OnEntry, &collector);
  if (bad_line != 0) {
    throw SettingsError(101,
                        document.Location(bad_line) +
                            ": expected [section], key = value or a comment");
  }
  std::set<std::pair<std::string, std::string>> seen_sections;
  std::size_t next = 0;
  int line_number = 0;
  while (!text.empty()) {
    ++line_number;
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view raw = text.substr(0, end);
    const std::string_view line = Trim(raw);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty() || line.front() == ';' || line.front() == '#') {
      continue;
    }
    if (line.front() == '[') {
      const std::string_view heading = Trim(line.substr(1, line.find(']') - 1));
      const std::size_t space = heading.find(' ');
      IniSection section;
      section.kind = std::string(heading.substr(0, space));
      section.name = space == std::string_view::npos
                         ? ""
                         : std::string(Trim(heading.substr(space)));
      section.line = line_number;
      if (!seen_sections.emplace(section.kind, section.name).second) {
        throw SettingsError(102, document.Location(line_number) +
                                     ": duplicate section [" +
                                     std::string(heading) + "]");
      }
      document.sections.push_back(std::move(section));
      continue;
    }
    if (document.sections.empty()) {
      throw SettingsError(
          101, document.Location(line_number) + ": key outside any section");
    }
    if (raw.front() == ' ' || raw.front() == '\t') {
      throw SettingsError(101, document.Location(line_number) +
                                   ": continuation lines are not supported");
    }
    if (next >= collector.entries.size()) {
      throw SettingsError(
          101, document.Location(line_number) + ": expected key = value");
    }
    IniEntry entry = std::move(collector.entries[next++].second);
    entry.line = line_number;
    IniSection& section = document.sections.back();
    if (section.Find(entry.key) != nullptr) {
      throw SettingsError(
          102, document.Location(line_number) + ": duplicate key '" +
                   entry.key + "' in [" + section.kind +
                   (section.name.empty() ? "" : " " + section.name) + "]");
    }
    section.entries.push_back(std::move(entry));
  }
  return document;
}

IniDocument IniDocument::Load(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    throw SettingsError(100, file + ": cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return Parse(text.str(), file);
}

}  // namespace jasminehatch::codec
