#include "amaranthctl/render.h"

#include <CppUTest/TestHarness.h>

#include "amaranthctl/plot.h"
#include "amaranthctl/table.h"

namespace amaranth::pvt {

TEST_GROUP(CtlRender) {
  CtlOptions options;

  std::string RenderText(View view, const std::string& body,
                         const std::string& setting = "") {
    Command command;
    command.view = view;
    command.setting = setting;
    const Outcome<std::string> text = Render(command, options, body);
    return text ? text.value() : "error: " + text.error().message;
  }

  static void CheckText(const std::string& expected,
                        const std::string& actual) {
    STRCMP_EQUAL(expected.c_str(), actual.c_str());
  }
};

TEST(CtlRender, TableAlignsItsColumns) {
  Table table({"NAME", ">COUNT"});
  table.AddRow({"a", "1"});
  table.AddRow({"longer", "12345678"});
  table.AddRow({"short of cells"});
  CheckText(
      "NAME               COUNT\n"
      "a                      1\n"
      "longer          12345678\n"
      "short of cells\n",
      table.ToText());
}

TEST(CtlRender, StatusShowsNodeMembersAndServers) {
  const std::string text =
      RenderText(View::kStatus,
                 R"({"node":"n1","ready":true,"settings_version":4,
          "members":[{"node":"n1","state":"alive","data_centre":"dc1",
                      "servers":2}],
          "local_servers":[{"server":"s1","in_flight":3,"limit":10,
                            "queued":1,"shed_threshold":7}]})");
  CHECK(text.find("node              n1\n") == 0);
  CHECK(text.find("ready             yes\n") != std::string::npos);
  CHECK(text.find("fleet             -\n") != std::string::npos);
  CHECK(text.find("n1      alive  dc1                2\n") !=
        std::string::npos);
  CHECK(text.find("s1                    3     10       1            7\n") !=
        std::string::npos);
}

TEST(CtlRender, CustomersShowTheirQuotasAndDigests) {
  const std::string text =
      RenderText(View::kCustomers,
                 R"({"customers":[{"customer":"c1","tier":"critical","rate":5.0,
          "burst":7.0,"home":"n2","keys":["ab12","cd34"]},
          {"customer":"c2","keys":[]}]})");
  CHECK(text.find("c1        critical") != std::string::npos);
  CHECK(text.find("n2    ab12 cd34\n") != std::string::npos);
  CHECK(text.find("c2        -") != std::string::npos);
}

TEST(CtlRender, ServersAreFilteredByService) {
  const std::string body =
      R"({"servers":[{"server":"s1","service":"pay","draining":false},
                     {"server":"s2","service":"find","draining":true}]})";
  CHECK(RenderText(View::kServers, body).find("s1") != std::string::npos);
  options.service = "find";
  const std::string text = RenderText(View::kServers, body);
  CHECK(text.find("s1") == std::string::npos);
  CHECK(text.find("s2") != std::string::npos);
}

TEST(CtlRender, SettingsShowTheirOrigin) {
  const std::string body =
      R"({"path":"m","settings":[
        {"name":"tier","value":"critical","origin":"m","is_default":false},
        {"name":"deadline","value":"9","origin":"","is_default":false},
        {"name":"plain","value":"1","origin":"default","is_default":true}]})";
  CheckText(
      "NAME      VALUE     COMES FROM\n"
      "tier      critical  m\n"
      "deadline  9         /\n"
      "plain     1         default\n",
      RenderText(View::kExplainedValues, body));
  CheckText("critical\n", RenderText(View::kValues, body, "tier"));
  CheckText("error: unknown setting 'tire'",
            RenderText(View::kValues, body, "tire"));
}

TEST(CtlRender, HistoryDistinguishesUnsetFromSet) {
  CheckText(
      "VERSION  AUTHOR  PATH  NAME      VALUE\n"
      "      2  eva     /     tier      critical\n"
      "                 m     deadline  (unset)\n",
      RenderText(View::kHistory,
                 R"({"history":[{"version":2,"author":"eva","changes":[
               {"path":"","name":"tier","value":"critical"},
               {"path":"m","name":"deadline","value":null}]}]})"));
}

TEST(CtlRender, HistogramsAreFilteredAndPlotted) {
  const std::string body =
      R"({"histograms":[
        {"tenant":"t","class":"pay","outcome":"ok","count":4,"p50_us":1000,
         "p90_us":2000,"p99_us":2500,"p999_us":2500,
         "buckets":[{"le_us":1000,"count":3},{"le_us":2500,"count":1}]},
        {"tenant":"t","class":"find","outcome":"ok","count":9}]})";
  options.request_class = "pay";
  const std::string table =
      "TENANT  CLASS  OUTCOME  COUNT  P50 MS  P90 MS  P99 MS  P99.9 MS\n"
      "t       pay    ok           4   1.000   2.000   2.500     2.500\n";
  CheckText(table, RenderText(View::kHistograms, body));
  options.plot = true;
  CheckText(table + "\nt / pay / ok\n<=      1.000 ms |" +
                std::string(50, '#') + " 3\n<=      2.500 ms |" +
                std::string(17, '#') + " 1\n",
            RenderText(View::kHistograms, body));
}

TEST(CtlRender, PlotMergesBucketsAndKeepsTheTailVisible) {
  std::vector<PlotBucket> buckets;
  for (int64_t i = 1; i <= 100; ++i) {
    buckets.push_back({i * 1000, i == 100 ? 1u : 1000u});
  }
  const std::string plot = PlotText(buckets);
  CHECK_EQUAL(20, std::count(plot.begin(), plot.end(), '\n'));
  CHECK(plot.find("100.000 ms |") != std::string::npos);
  CHECK(PlotText({}).empty());
  CHECK(PlotText({{1000, 100000}, {2000, 1}}).find("|# 1\n") !=
        std::string::npos);
}

TEST(CtlRender, RecordsAreSortedByTime) {
  CheckText(
      "    AT S    +MS  REQUEST  KIND   WHAT\n"
      "1.000000  0.000  r1       queue  waited\n"
      "1.002500  2.500  r1       shed   tier too low\n",
      RenderText(View::kRecords,
                 R"({"records":[
             {"at_us":1002500,"request":"r1","kind":"shed",
              "text":"tier too low"},
             {"at_us":1000000,"request":"r1","kind":"queue",
              "text":"waited"}]})"));
  CheckText("nothing recorded\n",
            RenderText(View::kRecords, R"({"records":[]})"));
}

TEST(CtlRender, JsonOutputIsTheWholeAnswer) {
  options.output = Output::kJson;
  CheckText("{\"records\":[]}\n",
            RenderText(View::kRecords, R"({"records": []})"));
}

// Guards against a crash if another program listens on the port or the node
// runs another version. The operator must see an error or dashes.
TEST(CtlRender, UnexpectedAnswersGiveErrorsOrDashes) {
  for (const char* invalid : {"", "<html>", "[]", "3", "{\"a\":"}) {
    CheckText("error: the node's answer is not a JSON object",
              RenderText(View::kStatus, invalid));
  }
  for (const View view :
       {View::kStatus, View::kServers, View::kValues, View::kExplainedValues,
        View::kHistory, View::kHistograms, View::kRecords, View::kChanged}) {
    for (const char* unexpected :
         {"{}", R"({"members":3,"servers":"x","settings":{},"records":null})",
          R"({"history":[{"changes":[{}]}],"settings":[{"name":1}],
              "histograms":[{"buckets":[{"count":-3,"le_us":"x"}]}],
              "records":[{"at_us":"x","text":[]}]})"}) {
      CHECK(RenderText(view, unexpected).find("error") == std::string::npos);
    }
  }
}

// Guards against a stack overflow: the JSON library prints recursively, so a
// body with a million nested brackets would crash the program.
TEST(CtlRender, DeeplyNestedAnswersAreTruncated) {
  constexpr size_t kDepth = 1000000;
  const std::string nested = "{\"version\":" + std::string(kDepth, '[') +
                             std::string(kDepth, ']') + "}";
  CHECK(RenderText(View::kChanged, nested).size() < 100);
  CHECK(RenderText(View::kRawJson, nested).size() < 10000);
  options.output = Output::kJson;
  CHECK(RenderText(View::kChanged, nested).size() < 100);
}

TEST(CtlRender, RefusalsShowTheNodesMessage) {
  CheckText("a; b", RefusalText(R"({"errors":["a","b"]})"));
  CheckText("lost the race",
            RefusalText(R"({"error":"conflict","message":"lost the race"})"));
  CheckText("no such path", RefusalText(R"({"error":"no such path"})"));
  CheckText("plain", RefusalText("plain"));
  CheckText("{}", RefusalText("{}"));
}

}  // namespace amaranth::pvt
