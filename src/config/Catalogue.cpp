#include "config/Catalogue.h"

#include <algorithm>

namespace fernlift::config
{
namespace
{

template <class Item, class Name>
const Item* findNamed (const std::vector<Item>& items, const Name& name)
{
    const auto position = std::find_if (items.begin(), items.end(),
                                        [&] (const Item& item) { return item.name == name; });
    return position == items.end() ? nullptr : &*position;
}

}  // namespace

const Model* Catalogue::findModel (const base::ModelName& name) const
{
    return findNamed (models, name);
}

const Adapter* Catalogue::findAdapter (const base::AdapterName& name) const
{
    return findNamed (adapters, name);
}

const Application* Catalogue::findApplication (const base::ApplicationName& name) const
{
    return findNamed (applications, name);
}

const RequestClass* Catalogue::findClass (const base::RequestClassName& name) const
{
    return findNamed (classes, name);
}

bool allowsZone (const std::vector<base::ZoneName>& zones, const base::ZoneName& zone)
{
    return zones.empty() || std::find (zones.begin(), zones.end(), zone) != zones.end();
}

}  // namespace fernlift::config
