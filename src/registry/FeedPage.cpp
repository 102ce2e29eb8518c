#include "registry/FeedPage.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include "support/BoundedJson.h"
#include "support/UrlEncode.h"

namespace savorytrestle::registry {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view FeedPath = "/feed?";

json encodeItem(const store::StoredItem &item) {
  if (item.Removed)
    return {
        {"key", item.Key}, {"changed", item.ModRevision}, {"removed", true}};
  return {{"key", item.Key},
          {"changed", item.ModRevision},
          {"value", absl::Base64Escape(item.Value)}};
}

store::StoredItem decodeItem(const json &object) {
  store::StoredItem item;
  item.Key = object.at("key").get<std::string>();
  item.ModRevision = object.at("changed").get<store::Revision>();
  item.Removed = object.value("removed", false);
  if (!item.Removed)
    absl::Base64Unescape(object.at("value").get<std::string>(), &item.Value);
  return item;
}

} // namespace

std::string formatFeedTarget(const FeedQuery &query) {
  std::string target =
      absl::StrCat(std::string(FeedPath), "after=", query.After.At,
                   "&wait_ms=", query.Wait.count());
  if (query.After.StoreEra)
    absl::StrAppend(&target, "&era=", *query.After.StoreEra);
  if (!query.Prefix.empty())
    absl::StrAppend(&target, "&prefix=", support::urlEncoded(query.Prefix));
  return target;
}

std::optional<FeedQuery> parseFeedTarget(std::string_view target) {
  if (!target.starts_with(FeedPath))
    return std::nullopt;
  target.remove_prefix(FeedPath.size());
  FeedQuery query;
  for (const auto part : absl::StrSplit(std::string(target), '&')) {
    const std::pair<std::string, std::string> field =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (field.first == "prefix") {
      query.Prefix = support::urlDecoded(field.second);
      continue;
    }
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(field.second, &number) || number < 0)
      return std::nullopt;
    if (field.first == "after")
      query.After.At = static_cast<store::Revision>(number);
    else if (field.first == "era")
      query.After.StoreEra = static_cast<store::Era>(number);
    else if (field.first == "wait_ms")
      query.Wait = milliseconds(number);
  }
  return query;
}

std::string encodeFeedPage(const FeedPage &page) {
  json items = json::array();
  for (const store::StoredItem &item : page.Items)
    items.push_back(encodeItem(item));
  json object{{"at", page.At.At},
              {"whole", page.IsFullList},
              {"age_ms", page.Age.count()},
              {"items", std::move(items)}};
  if (page.At.StoreEra)
    object["era"] = *page.At.StoreEra;
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

core::Result<FeedPage> decodeFeedPage(std::string_view body) {
  return support::decodeJson<FeedPage>(body, [](const json &object) {
    FeedPage page;
    page.At.At = object.at("at").get<store::Revision>();
    if (object.contains("era"))
      page.At.StoreEra = object["era"].get<store::Era>();
    page.IsFullList = object.at("whole").get<bool>();
    page.Age = milliseconds(object.at("age_ms").get<std::int64_t>());
    for (const json &item : object.at("items"))
      page.Items.push_back(decodeItem(item));
    return page;
  });
}

} // namespace savorytrestle::registry
