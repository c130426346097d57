// Prints the operators' settings reference; the build target
// settings_reference_page writes it to docs/operators/.

#include <iostream>

#include "amaranthroute/settings.h"

int main() { std::cout << amaranth::SettingsReference(); }
